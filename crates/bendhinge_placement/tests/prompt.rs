//! Prompts as callers state them.

use bendhinge_placement::{PartId, Prompt, PromptPart};

/// Guards against an overflow where a caller states more tokens than any prompt has.
#[test]
fn sum_of_tokens_is_clamped() {
    let part = |id| PromptPart { id: PartId(id), tokens: u32::MAX };
    let prompt = Prompt::new(vec![part(1), part(2), part(3)]);
    assert_eq!((prompt.tokens(), prompt.shared_tokens()), (u32::MAX, u32::MAX));
    assert_eq!(Prompt::default().tokens(), 0);
}
