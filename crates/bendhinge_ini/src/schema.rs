//! What sections and keys a document may have.

/// One key of a section.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// The key as written.
    pub name: &'static str,
    /// The form of its value, as shown to operators.
    pub form: &'static str,
    /// The value used where the key is absent; `None` makes the key required.
    pub default: Option<&'static str>,
    /// What it sets, one sentence.
    pub help: &'static str,
}

impl Key {
    /// A key with all that is said of it.
    #[must_use]
    pub const fn new(
        name: &'static str,
        form: &'static str,
        default: Option<&'static str>,
        help: &'static str,
    ) -> Self {
        Self { name, form, default, help }
    }
}

/// One kind of section: `[kind]`, or `[kind.NAME]` where `named`.
#[derive(Clone, Copy, Debug)]
pub struct SectionKind {
    /// The part of the title before the dot.
    pub kind: &'static str,
    /// Whether the title carries a name, so that the kind may stand several times.
    pub named: bool,
    /// Whether at least one section of the kind must be there.
    pub required: bool,
    /// What the section is for, one sentence.
    pub help: &'static str,
    /// Its keys.
    pub keys: &'static [Key],
}

impl SectionKind {
    pub(crate) fn key(&self, name: &str) -> Option<&'static Key> {
        self.keys.iter().find(|key| key.name == name)
    }
}

/// All that a document may hold.
#[derive(Clone, Copy, Debug)]
pub struct Schema {
    /// The document's title on the reference page.
    pub title: &'static str,
    /// Its kinds of section.
    pub sections: &'static [SectionKind],
}

impl Schema {
    pub(crate) fn kind(&self, kind: &str) -> Option<&'static SectionKind> {
        self.sections.iter().find(|section| section.kind == kind)
    }
}

/// The known name nearest to `wrong`, if one is near enough to be meant.
pub(crate) fn nearest<'a>(wrong: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    const NEAR_ENOUGH: f64 = 0.7;
    known
        .map(|name| (name, strsim::normalized_damerau_levenshtein(wrong, name)))
        .filter(|(_, likeness)| *likeness >= NEAR_ENOUGH)
        .max_by(|left, right| left.1.total_cmp(&right.1))
        .map(|(name, _)| name)
}
