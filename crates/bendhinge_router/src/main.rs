//! The router's process.

fn main() -> bendhinge_codes::ExitStatus {
    bendhinge_router::main()
}
