//! HTTP interface for fault injection and the execution ledger of the endpoint
//! stand-ins.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /v1/vms` | the record of every VM, as the platform lists it |
//! | `GET /v1/statuses` | the status of every VM |
//! | `PUT /v1/vms/VM/fault` with a fault as JSON | injects a fault at a VM |
//! | `GET /v1/ledger?marker=TEXT` | summary of the executions of calls whose body contains the text |
//! | `POST /v1/executions` with a body | number of executions of calls with exactly this body |

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bulrushhoist_daemon::listen;
use salvo::Server;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::StatusCode;
use salvo::prelude::{Depot, FlowCtrl, Handler, Json, Request, Response, Router};

use crate::endpoint::{EndpointStandins, VmFault};

#[derive(Clone, Copy)]
enum Route {
    Vms,
    Statuses,
    Fault,
    Ledger,
    Executions,
}

struct Api {
    endpoints: Arc<EndpointStandins>,
    route: Route,
}

/// Serves the control interface until the process ends; returns its address.
pub async fn serve_control(
    endpoints: Arc<EndpointStandins>,
    address: SocketAddr,
) -> io::Result<SocketAddr> {
    let acceptor = TcpAcceptor::try_from(listen(address)?)?;
    let address = acceptor.local_addr()?;
    let api = |route| Api {
        endpoints: Arc::clone(&endpoints),
        route,
    };
    let router = Router::with_path("v1")
        .push(Router::with_path("vms").get(api(Route::Vms)))
        .push(Router::with_path("statuses").get(api(Route::Statuses)))
        .push(Router::with_path("vms/{vm}/fault").put(api(Route::Fault)))
        .push(Router::with_path("ledger").get(api(Route::Ledger)))
        .push(Router::with_path("executions").post(api(Route::Executions)));
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
        match self.route {
            Route::Vms => res.render(Json(self.endpoints.records())),
            Route::Statuses => res.render(Json(self.endpoints.statuses())),
            Route::Ledger => {
                let marker: String = req.query("marker").unwrap_or_default();
                res.render(Json(self.endpoints.ledger(&marker)));
            }
            Route::Executions => {
                let body = req.payload().await.cloned().unwrap_or_default();
                res.render(Json(self.endpoints.executions(&body)));
            }
            Route::Fault => {
                let vm = req.param::<String>("vm").and_then(|t| t.parse().ok());
                let fault = req.payload().await.ok();
                let fault = fault.and_then(|b| serde_json::from_slice::<VmFault>(b).ok());
                let applied = vm
                    .zip(fault)
                    .is_some_and(|(vm, fault)| self.endpoints.set_fault(&vm, fault));
                if !applied {
                    res.status_code(StatusCode::BAD_REQUEST);
                }
            }
        }
    }
}
