//! Declaration of the sections and keys that a document may contain.

/// Declaration of a key in a section.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Name of the key.
    pub name: &'static str,
    /// Description of the value's format, shown in faults and on the reference page.
    pub form: &'static str,
    /// Value used if the key is absent; `None` makes the key required.
    pub default: Option<&'static str>,
    /// Description of the setting, in one sentence.
    pub help: &'static str,
}

impl Key {
    /// Creates a key declaration.
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

/// Declaration of a kind of section: `[kind]`, or `[kind.NAME]` if `named`.
#[derive(Clone, Copy, Debug)]
pub struct SectionKind {
    /// Part of the title before the dot.
    pub kind: &'static str,
    /// Whether the title includes a name, which allows several sections of the kind.
    pub named: bool,
    /// Whether the document must contain a section of this kind.
    pub required: bool,
    /// Purpose of the section, in one sentence.
    pub help: &'static str,
    /// Keys allowed in the section, in canonical order.
    pub keys: &'static [Key],
}

impl SectionKind {
    pub(crate) fn key(&self, name: &str) -> Option<&'static Key> {
        self.keys.iter().find(|key| key.name == name)
    }
}

/// Declaration of a kind of document.
#[derive(Clone, Copy, Debug)]
pub struct Schema {
    /// Title of the reference page.
    pub title: &'static str,
    /// Kinds of section allowed in the document, in canonical order.
    pub sections: &'static [SectionKind],
}

impl Schema {
    pub(crate) fn kind(&self, kind: &str) -> Option<&'static SectionKind> {
        self.sections.iter().find(|section| section.kind == kind)
    }
}

/// Returns the known name that is most similar to `unknown`, if it is similar enough to suggest.
pub(crate) fn closest_name<'a>(unknown: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    const MIN_SIMILARITY: f64 = 0.7;
    known
        .map(|name| (name, strsim::normalized_damerau_levenshtein(unknown, name)))
        .filter(|(_, similarity)| *similarity >= MIN_SIMILARITY)
        .max_by(|left, right| left.1.total_cmp(&right.1))
        .map(|(name, _)| name)
}
