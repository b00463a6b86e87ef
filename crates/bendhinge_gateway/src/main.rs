//! The gateway's process, with the product's own interface.

fn main() -> bendhinge_codes::ExitStatus {
    bendhinge_gateway::main(bendhinge_gateway::native::Native)
}
