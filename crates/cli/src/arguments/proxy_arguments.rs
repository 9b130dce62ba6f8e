//! Arguments that name proxies.

use core::net::SocketAddr;

use clap::Args;

/// Which proxies to talk to.
#[derive(Args, Clone, Debug)]
pub struct ProxyArguments {
    /// Admin port of a proxy; repeat it for each proxy.
    #[arg(long = "proxy", value_name = "IP:PORT", required = true)]
    pub proxies: Vec<SocketAddr>,
    /// Key of the admin ports.
    #[arg(
        long,
        value_name = "KEY",
        env = "FLAMINGOROCK_ADMIN_KEY",
        hide_env_values = true,
        required = true
    )]
    pub admin_key: String,
}
