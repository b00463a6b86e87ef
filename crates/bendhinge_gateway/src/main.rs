//! The gateway binary for the native dialect.

fn main() -> bendhinge_codes::ExitStatus {
    bendhinge_gateway::main(bendhinge_gateway::native::Native)
}
