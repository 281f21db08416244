use std::sync::Arc;

use medlarpin_core::tickets::RedeemOutcome;

use super::{Answer, FINGERPRINT, Message, Model, Mutation, Phase, Run, State, empty_book};

impl Model {
    pub(super) fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        self.environment_steps(state, &mut next);
        self.submit_steps(state, &mut next);
        self.network_steps(state, &mut next);
        for run in 0..state.runs.len() {
            self.run_steps(state, run, &mut next);
        }
        next
    }

    fn environment_steps(&self, state: &State, next: &mut Vec<State>) {
        if state.time < 2 {
            next.push(changed(state, |s| s.time += 1));
        }
        if state.is_split || state.splits < self.bounds.splits {
            next.push(changed(state, |s| {
                s.splits += u8::from(!s.is_split);
                s.is_split = !s.is_split;
            }));
        }
        if state.restarts < self.bounds.restarts {
            next.push(changed(state, |s| {
                s.restarts += 1;
                s.incarnation += 1;
                s.book = empty_book(s.incarnation);
                for run in &mut s.runs {
                    run.phase = Phase::Ended;
                    run.burn_is_due = false;
                }
            }));
        }
    }

    fn submit_steps(&self, state: &State, next: &mut Vec<State>) {
        let submission = u8::try_from(state.answers.len()).unwrap_or(u8::MAX);
        if submission < self.bounds.submissions {
            next.push(changed(state, |s| {
                s.answers.push(None);
                self.present(s, submission);
            }));
            next.push(changed(state, |s| {
                s.answers.push(None);
                if s.is_split && self.mutation == Some(Mutation::EntryRunsWhenSplit) {
                    start_run(s, submission, false);
                } else if s.is_split {
                    answer(s, submission, Answer::Unknown);
                } else {
                    send(s, Message::Forward { submission });
                }
            }));
        }
        // The other entry gives up on a forwarded submission at any time.
        for submission in 0..submission {
            if state.answers[usize::from(submission)].is_none() {
                next.push(changed(state, |s| answer(s, submission, Answer::Unknown)));
            }
        }
    }

    /// The issuer decides about a submission, with the shipped ticket book.
    fn present(&self, state: &mut State, submission: u8) {
        let now = self.start + state.time * std::time::Duration::from_mins(10);
        if self.mutation == Some(Mutation::BurnAfterSend) {
            let burn = state
                .book
                .clone()
                .redeem(&self.ticket, &self.team, FINGERPRINT, now);
            if burn == RedeemOutcome::MayRun {
                start_run(state, submission, true);
                return;
            }
        }
        let burn = state
            .book
            .redeem(&self.ticket, &self.team, FINGERPRINT, now);
        match burn {
            RedeemOutcome::MayRun => start_run(state, submission, false),
            RedeemOutcome::Running if self.mutation == Some(Mutation::BurnForgottenOnResend) => {
                start_run(state, submission, false);
            }
            RedeemOutcome::Running => wait_for_run(state, submission),
            RedeemOutcome::Finished(outcome) if *outcome == *b"ran" => {
                answer(state, submission, Answer::Ran);
            }
            RedeemOutcome::WrongIssuer | RedeemOutcome::Unknown
                if self.mutation == Some(Mutation::RecordlessTicketRuns) =>
            {
                start_run(state, submission, false);
            }
            RedeemOutcome::Expired | RedeemOutcome::Mismatch => {
                answer(state, submission, Answer::NotRun);
            }
            RedeemOutcome::Finished(_)
            | RedeemOutcome::OutcomeDropped
            | RedeemOutcome::WrongIssuer
            | RedeemOutcome::Unknown => {
                answer(state, submission, Answer::Unknown);
            }
        }
    }

    fn network_steps(&self, state: &State, next: &mut Vec<State>) {
        for index in 0..state.network.len() {
            let message = state.network[index];
            let taken = changed(state, |s| {
                s.network.remove(index);
            });
            // A message that is never delivered covers a loss, so there is no step for it.
            match message {
                Message::Forward { submission } if !state.is_split => {
                    next.push(changed(&taken, |s| self.present(s, submission)));
                }
                Message::Forward { .. } => {}
                Message::LeafRequest { run } => {
                    next.push(changed(&taken, |s| {
                        s.runs[usize::from(run)].ran = true;
                        send(
                            s,
                            Message::LeafReply {
                                run,
                                refused: false,
                            },
                        );
                    }));
                    next.push(changed(&taken, |s| {
                        send(s, Message::LeafReply { run, refused: true });
                    }));
                }
                Message::LeafReply { run, refused } => {
                    next.push(changed(&taken, |s| self.receive(s, run, refused)));
                    if state.duplicates < self.bounds.duplicates {
                        next.push(changed(state, |s| {
                            s.duplicates += 1;
                            send(s, message);
                        }));
                    }
                }
            }
        }
    }

    /// The issuer receives a leaf's reply and ends the run that it belongs to.
    fn receive(&self, state: &mut State, run: u8, refused: bool) {
        let target = if self.mutation == Some(Mutation::ReplyUnchecked) {
            state.runs.iter().position(|run| run.phase == Phase::Sent)
        } else {
            Some(usize::from(run)).filter(|run| state.runs[*run].phase == Phase::Sent)
        };
        if let Some(run) = target {
            let result = if refused { Answer::NotRun } else { Answer::Ran };
            self.end(state, run, result);
        }
    }

    fn run_steps(&self, state: &State, run: usize, next: &mut Vec<State>) {
        if state.runs[run].burn_is_due {
            next.push(changed(state, |s| {
                let now = self.start + s.time * std::time::Duration::from_mins(10);
                s.book.redeem(&self.ticket, &self.team, FINGERPRINT, now);
                s.runs[run].burn_is_due = false;
            }));
        }
        match state.runs[run].phase {
            Phase::Queued => {
                next.push(changed(state, |s| send_to_leaf(s, run, Phase::Sent)));
                // The deadline passes while the request waits in the queue, for example in a pause.
                next.push(changed(state, |s| {
                    self.end(s, run, Answer::NotRun);
                    if self.mutation == Some(Mutation::SendAfterDrop) {
                        s.runs[run].phase = Phase::EndedInQueue;
                    }
                }));
            }
            Phase::EndedInQueue => {
                next.push(changed(state, |s| send_to_leaf(s, run, Phase::Ended)));
            }
            // The deadline passes before the reply arrives.
            Phase::Sent => next.push(changed(state, |s| {
                let released = self.mutation == Some(Mutation::ReleaseOnTimeout);
                let result = if released {
                    Answer::NotRun
                } else {
                    Answer::Unknown
                };
                self.end(s, run, result);
            })),
            Phase::Ended => {}
        }
    }

    /// Ends a run and answers its submissions.
    fn end(&self, state: &mut State, run: usize, result: Answer) {
        let now = self.start + state.time * std::time::Duration::from_mins(10);
        match result {
            Answer::NotRun => state.book.release(&self.ticket),
            Answer::Ran => state.book.finish(&self.ticket, Arc::from(*b"ran"), now),
            Answer::Unknown => state.book.finish(&self.ticket, Arc::from(*b"unknown"), now),
        }
        state.runs[run].phase = Phase::Ended;
        for submission in state.runs[run].submissions.clone() {
            answer(state, submission, result);
        }
    }
}

fn changed(state: &State, change: impl FnOnce(&mut State)) -> State {
    let mut next = state.clone();
    change(&mut next);
    next
}

fn send(state: &mut State, message: Message) {
    state.network.push(message);
    state.network.sort_unstable();
}

fn send_to_leaf(state: &mut State, run: usize, phase: Phase) {
    state.runs[run].phase = phase;
    let run = u8::try_from(run).unwrap_or(u8::MAX);
    send(state, Message::LeafRequest { run });
}

/// Records the first answer; the caller reads no other.
fn answer(state: &mut State, submission: u8, answer: Answer) {
    state.answers[usize::from(submission)].get_or_insert(answer);
}

fn start_run(state: &mut State, submission: u8, burn_is_due: bool) {
    state.runs.push(Run {
        phase: Phase::Queued,
        submissions: vec![submission],
        ran: false,
        burn_is_due,
    });
}

fn wait_for_run(state: &mut State, submission: u8) {
    let running = state
        .runs
        .iter_mut()
        .find(|run| matches!(run.phase, Phase::Queued | Phase::Sent));
    if let Some(run) = running {
        run.submissions.push(submission);
    }
}
