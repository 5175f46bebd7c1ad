//! HTTP interface to the endpoint stand-ins' switches and ledger.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /v1/vms` | every VM as the platform would list it |
//! | `GET /v1/statuses` | every VM's report |
//! | `PUT /v1/vms/VM/fault` with a fault as JSON | makes a VM show a fault |
//! | `GET /v1/ledger?marker=TEXT` | executions of calls whose body holds the text |
//! | `POST /v1/executions` with a body | how often calls with exactly this body ran |

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bulrushhoist_daemon::listen;
use salvo::Server;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::StatusCode;
use salvo::prelude::{Depot, FlowCtrl, Handler, Json, Request, Response, Router};

use crate::endpoint::{Farm, VmFault};

#[derive(Clone, Copy)]
enum Call {
    Vms,
    Statuses,
    Fault,
    Ledger,
    Executions,
}

struct Api {
    farm: Arc<Farm>,
    call: Call,
}

/// Serves the switches of a farm until the process ends; returns the address.
pub async fn serve_control(farm: Arc<Farm>, address: SocketAddr) -> io::Result<SocketAddr> {
    let acceptor = TcpAcceptor::try_from(listen(address)?)?;
    let address = acceptor.local_addr()?;
    let api = |call| Api {
        farm: Arc::clone(&farm),
        call,
    };
    let router = Router::with_path("v1")
        .push(Router::with_path("vms").get(api(Call::Vms)))
        .push(Router::with_path("statuses").get(api(Call::Statuses)))
        .push(Router::with_path("vms/{vm}/fault").put(api(Call::Fault)))
        .push(Router::with_path("ledger").get(api(Call::Ledger)))
        .push(Router::with_path("executions").post(api(Call::Executions)));
    tokio::spawn(Server::new(acceptor).disable_fuse().serve(router));
    Ok(address)
}

#[salvo::async_trait]
impl Handler for Api {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.call {
            Call::Vms => res.render(Json(self.farm.records())),
            Call::Statuses => res.render(Json(self.farm.statuses())),
            Call::Ledger => {
                let marker: String = req.query("marker").unwrap_or_default();
                res.render(Json(self.farm.ledger(&marker)));
            }
            Call::Executions => {
                let body = req.payload().await.cloned().unwrap_or_default();
                res.render(Json(self.farm.executions(&body)));
            }
            Call::Fault => {
                let vm = req.param::<String>("vm").and_then(|t| t.parse().ok());
                let fault = req.payload().await.ok();
                let fault = fault.and_then(|b| serde_json::from_slice::<VmFault>(b).ok());
                let shown = vm
                    .zip(fault)
                    .is_some_and(|(vm, fault)| self.farm.fault(&vm, fault));
                if !shown {
                    res.status_code(StatusCode::BAD_REQUEST);
                }
            }
        }
    }
}
