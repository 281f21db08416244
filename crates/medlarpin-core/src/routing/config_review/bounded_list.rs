/// A list that keeps its first elements and counts the others, so that a report stays bounded
/// whatever the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct BoundedList<T> {
    /// At most `kept_max` elements.
    kept: Vec<T>,
    kept_max: usize,
    omitted: usize,
}

impl<T> BoundedList<T> {
    /// Creates an empty list that keeps up to `kept_max` elements.
    #[must_use]
    pub fn new(kept_max: usize) -> Self {
        Self {
            kept: Vec::new(),
            kept_max,
            omitted: 0,
        }
    }

    /// Appends an element, or only counts it if the list is full.
    pub fn push(&mut self, element: T) {
        self.push_with(|| element);
    }

    /// Appends an element, or only counts it without creating it if the list is full.
    pub fn push_with(&mut self, create: impl FnOnce() -> T) {
        if self.kept.len() < self.kept_max {
            self.kept.push(create());
        } else {
            self.omitted += 1;
        }
    }

    /// Returns the elements that were kept, in the order in which they were appended.
    #[must_use]
    pub fn kept(&self) -> &[T] {
        &self.kept
    }

    /// Returns the number of elements that were counted only.
    #[must_use]
    pub fn omitted(&self) -> usize {
        self.omitted
    }

    /// Returns the number of all elements.
    #[must_use]
    pub fn total(&self) -> usize {
        self.kept.len() + self.omitted
    }
}
