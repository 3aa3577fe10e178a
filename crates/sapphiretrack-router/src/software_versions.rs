//! Which services have servers of the version of the software that began a stream.

use sapphiretrack_routing::{Route, SoftwareVersion};

use crate::shared::Shared;

/// The service of a route whose listed servers run this version; none if no server of the route does.
pub(crate) fn service_of_version(
    shared: &Shared,
    route: &Route,
    software: SoftwareVersion,
) -> Option<String> {
    let services = shared.servers.load();
    let is_listed = |service: &str| {
        let servers = services.get(service);
        let mut servers = servers.into_iter().flatten();
        servers.any(|server| server.software() == software)
    };
    let mut targets = route.targets.iter();
    let target = targets.find(|target| is_listed(&target.service))?;
    Some(target.service.clone())
}
