/// How a leaf was lost while it may have been running a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossKind {
    /// The connection of the request broke.
    Broken,
    /// The leaf has not answered the request, nor anything else since.
    Unanswered,
}

/// What a leaf does on a new connection, after one was lost while it was running a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LostLeafSign {
    /// It answers, whatever the answer.
    Answers,
    /// Another leaf answers at its address.
    Replaced,
    /// Nothing listens at its address.
    Refuses,
    /// Nothing is heard of it.
    Silent,
    /// It accepts a connection, and was not asked, as it takes no further requests for now.
    NotAsked,
}

/// Whether this VM reaches the leafs beside a lost one, in the same failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NeighbourSign {
    /// One of them answers.
    Reached,
    /// None answers, and some refuse connections, as all do while the links of this VM refuse new ones.
    Refusing,
    /// None answers.
    Silent,
    /// There is none to ask.
    Nobody,
}

/// Whether a leaf that was lost under a request has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossVerdict {
    /// The leaf lives: only its answer or the connection was lost.
    Lives,
    /// The leaf has ended.
    Ended,
    /// The leaf is silent on new connections as well, while this VM reaches those beside it: it has ended or hangs.
    Silent,
    /// The leaf may have ended, or the links to it may have failed.
    Unknown,
}

impl LossVerdict {
    /// Judges a loss by what was seen of the leaf and of those beside it.
    ///
    /// A leaf that does not answer has ended if the store lists it no longer, as leafs that live renew their
    /// entries there, or if it behaves otherwise than those beside it. Silence alone does not show that as long
    /// as the leaf is listed: it may be slow, or hang for some seconds.
    #[must_use]
    pub fn of(
        kind: LossKind,
        leaf: LostLeafSign,
        neighbours: NeighbourSign,
        is_listed: bool,
    ) -> Self {
        match leaf {
            LostLeafSign::Answers => Self::Lives,
            LostLeafSign::Replaced => Self::Ended,
            LostLeafSign::Refuses | LostLeafSign::Silent | LostLeafSign::NotAsked if !is_listed => {
                Self::Ended
            }
            LostLeafSign::NotAsked => Self::Unknown,
            LostLeafSign::Refuses => match neighbours {
                NeighbourSign::Reached | NeighbourSign::Silent | NeighbourSign::Nobody => {
                    Self::Ended
                }
                NeighbourSign::Refusing => Self::Unknown,
            },
            LostLeafSign::Silent => match (kind, neighbours) {
                (LossKind::Broken, NeighbourSign::Reached) => Self::Ended,
                (LossKind::Unanswered, NeighbourSign::Reached) => Self::Silent,
                (_, NeighbourSign::Refusing | NeighbourSign::Silent | NeighbourSign::Nobody) => {
                    Self::Unknown
                }
            },
        }
    }
}
