//! The plain service's stand-in as a process.

use std::num::NonZeroUsize;

use bendhinge_http::Tasks;
use bendhinge_standin::service::Service;
use bpaf::Bpaf;

/// A stand-in for a plain service, on a free port of the loopback address.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// Name in answers
    #[bpaf(argument("NAME"))]
    name: String,
}

fn main() -> std::io::Result<()> {
    let args = args().run();
    let service = Service::new(&args.name);
    let handler = move |request| {
        let service = service.clone();
        async move { service.handle(request).await }
    };
    bendhinge_standin::run(&args.name, NonZeroUsize::MIN, &Tasks::default(), handler)
}
