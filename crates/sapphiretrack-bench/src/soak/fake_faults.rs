//! Injects the faults that the fake platform, engines and plain services simulate.

use sapphiretrack_core::PoolKind;
use sapphiretrack_fakes::{EngineFaults, PlatformFaults, ServiceFaults};

use crate::soak::faults::Fault;
use crate::soak::injector::{Injector, Recovery};

impl Injector {
    /// Injects a fault of the platform; `false` for any other fault.
    pub(super) async fn inject_platform_fault(&mut self, fault: Fault) -> bool {
        let none = PlatformFaults::default();
        let (faults, duration_ms) = match fault {
            Fault::PlatformDown { down_ms } => (PlatformFaults { down: true, ..none }, down_ms),
            Fault::PlatformSlow { slow_ms, delay_ms } => {
                (PlatformFaults { delay_ms, ..none }, slow_ms)
            }
            Fault::LosePlatformReplies { replies } => {
                let lose_replies = replies;
                (
                    PlatformFaults {
                        lose_replies,
                        ..none
                    },
                    0,
                )
            }
            Fault::LosePlatformRequests { requests } => {
                let lose_requests = requests;
                (
                    PlatformFaults {
                        lose_requests,
                        ..none
                    },
                    0,
                )
            }
            _ => return false,
        };
        let address = self.fleet.platform_address;
        self.fleet.set_faults(address, &faults).await;
        if duration_ms > 0 {
            self.schedule_recovery(duration_ms, Recovery::ClearPlatformFaults);
        }
        true
    }

    /// Injects a fault of a plain service; `false` for any other fault.
    pub(super) async fn inject_service_fault(&mut self, fault: Fault) -> bool {
        let none = ServiceFaults::default();
        let (service, faults, duration_ms) = match fault {
            Fault::LoseServiceReplies { service, replies } => {
                let lose_replies = replies;
                (
                    service,
                    ServiceFaults {
                        lose_replies,
                        ..none
                    },
                    0,
                )
            }
            Fault::CrossServiceReplies { service, replies } => {
                let crossed = replies;
                (service, ServiceFaults { crossed, ..none }, 0)
            }
            Fault::RefuseCalls { service, calls } => {
                let refuse = calls;
                (service, ServiceFaults { refuse, ..none }, 0)
            }
            Fault::FreezeService { service, frozen_ms } => {
                let frozen = true;
                (service, ServiceFaults { frozen, ..none }, frozen_ms)
            }
            _ => return false,
        };
        let server = self.pick_server(PoolKind::Service, service);
        let address = self.fleet.servers[server].vm.address;
        self.fleet.set_faults(address, &faults).await;
        if duration_ms > 0 {
            self.schedule_recovery(duration_ms, Recovery::ClearServiceFaults { server });
        }
        true
    }

    /// Injects a fault of an engine; `false` for any other fault.
    pub(super) async fn inject_engine_fault(&mut self, fault: Fault) -> bool {
        let none = EngineFaults::default();
        let (engine, faults, duration_ms) = match fault {
            Fault::CutStreams {
                engine,
                streams,
                after_tokens,
            } => {
                let (cut_streams, cut_after_tokens) = (streams, after_tokens);
                let faults = EngineFaults {
                    cut_streams,
                    cut_after_tokens,
                    ..none
                };
                (engine, faults, 0)
            }
            Fault::CrossReplies { engine, replies } => {
                let crossed = replies;
                (engine, EngineFaults { crossed, ..none }, 0)
            }
            Fault::RefuseRequests { engine, requests } => {
                let refuse = requests;
                (engine, EngineFaults { refuse, ..none }, 0)
            }
            Fault::FreezeEngine { engine, frozen_ms } => {
                let frozen = true;
                (engine, EngineFaults { frozen, ..none }, frozen_ms)
            }
            Fault::LeaveEngine { engine, leaving_ms } => {
                let leaving = true;
                (engine, EngineFaults { leaving, ..none }, leaving_ms)
            }
            Fault::RestartEngine { engine } => {
                let server = self.pick_server(PoolKind::Engine, engine);
                self.restart_engine(server).await;
                return true;
            }
            _ => return false,
        };
        let server = self.pick_server(PoolKind::Engine, engine);
        let address = self.fleet.servers[server].vm.address;
        let leaving = faults.leaving;
        self.fleet.set_faults(address, &faults).await;
        if leaving {
            self.schedule_recovery(duration_ms, Recovery::RestartEngine { server });
        } else if duration_ms > 0 {
            self.schedule_recovery(duration_ms, Recovery::ClearEngineFaults { server });
        }
        true
    }
}
