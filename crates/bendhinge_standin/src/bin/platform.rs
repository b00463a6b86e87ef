//! The platform's stand-in as a process.

use std::num::NonZeroUsize;

use bendhinge_http::Tasks;
use bendhinge_standin::platform::Platform;
use bpaf::Bpaf;

/// A stand-in for the platform, on a free port of the loopback address.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// Name in the line that tells the address
    #[bpaf(argument("NAME"), fallback(String::from("platform")))]
    name: String,
}

fn main() -> std::io::Result<()> {
    let args = args().run();
    let platform = Platform::default();
    let handler = move |request| {
        let platform = platform.clone();
        async move { platform.handle(request).await }
    };
    bendhinge_standin::run(&args.name, NonZeroUsize::MIN, &Tasks::default(), handler)
}
