use std::sync::Arc;

use medlarpin_core::tickets::RedeemOutcome;

use super::{Answer, FINGERPRINT, Message, Model, Mutation, Phase, Run, State, empty_table};

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
        if state.is_partitioned || state.partitions < self.bounds.partitions {
            next.push(changed(state, |s| {
                s.partitions += u8::from(!s.is_partitioned);
                s.is_partitioned = !s.is_partitioned;
            }));
        }
        if state.restarts < self.bounds.restarts {
            next.push(changed(state, |s| {
                s.restarts += 1;
                s.incarnation += 1;
                s.table = empty_table(s.incarnation);
                for run in &mut s.runs {
                    run.phase = Phase::Completed;
                    run.is_redeem_pending = false;
                }
            }));
        }
    }

    fn submit_steps(&self, state: &State, next: &mut Vec<State>) {
        let submission = u8::try_from(state.answers.len()).unwrap_or(u8::MAX);
        if submission < self.bounds.submissions {
            next.push(changed(state, |s| {
                s.answers.push(None);
                self.redeem(s, submission);
            }));
            next.push(changed(state, |s| {
                s.answers.push(None);
                if s.is_partitioned && self.mutation == Some(Mutation::EntryRunsDuringPartition) {
                    start_run(s, submission, false);
                } else if s.is_partitioned {
                    answer(s, submission, Answer::Unknown);
                } else {
                    send(s, Message::Forward { submission });
                }
            }));
        }
        // The entry daemon may give up on an unanswered submission at any time.
        for submission in 0..submission {
            if state.answers[usize::from(submission)].is_none() {
                next.push(changed(state, |s| answer(s, submission, Answer::Unknown)));
            }
        }
    }

    /// The issuer redeems the ticket of a submission in the production ticket table.
    fn redeem(&self, state: &mut State, submission: u8) {
        let now = self.start + state.time * std::time::Duration::from_mins(10);
        if self.mutation == Some(Mutation::RedeemAfterSend) {
            let outcome = state
                .table
                .clone()
                .redeem(&self.ticket, &self.team, FINGERPRINT, now);
            if outcome == RedeemOutcome::MayRun {
                start_run(state, submission, true);
                return;
            }
        }
        let outcome = state
            .table
            .redeem(&self.ticket, &self.team, FINGERPRINT, now);
        match outcome {
            RedeemOutcome::MayRun => start_run(state, submission, false),
            RedeemOutcome::Running if self.mutation == Some(Mutation::ResendStartsAnotherRun) => {
                start_run(state, submission, false);
            }
            RedeemOutcome::Running => wait_for_run(state, submission),
            RedeemOutcome::Finished(stored) if *stored == *b"ran" => {
                answer(state, submission, Answer::Ran);
            }
            RedeemOutcome::WrongIssuer | RedeemOutcome::Unknown
                if self.mutation == Some(Mutation::UnknownTicketRuns) =>
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
            let without_message = changed(state, |s| {
                s.network.remove(index);
            });
            // There is no step for the loss of a message: one that is never delivered is
            // equivalent.
            match message {
                Message::Forward { submission } if !state.is_partitioned => {
                    next.push(changed(&without_message, |s| self.redeem(s, submission)));
                }
                Message::Forward { .. } => {}
                Message::LeafRequest { run } => {
                    next.push(changed(&without_message, |s| {
                        s.runs[usize::from(run)].ran = true;
                        send(
                            s,
                            Message::LeafReply {
                                run,
                                refused: false,
                            },
                        );
                    }));
                    next.push(changed(&without_message, |s| {
                        send(s, Message::LeafReply { run, refused: true });
                    }));
                }
                Message::LeafReply { run, refused } => {
                    next.push(changed(&without_message, |s| self.receive(s, run, refused)));
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

    /// The issuer receives a leaf's reply and completes the run that it belongs to.
    fn receive(&self, state: &mut State, run: u8, refused: bool) {
        let completed_run = if self.mutation == Some(Mutation::ReplyUnchecked) {
            state.runs.iter().position(|run| run.phase == Phase::Sent)
        } else {
            Some(usize::from(run)).filter(|run| state.runs[*run].phase == Phase::Sent)
        };
        if let Some(run) = completed_run {
            let result = if refused { Answer::NotRun } else { Answer::Ran };
            self.complete(state, run, result);
        }
    }

    fn run_steps(&self, state: &State, run: usize, next: &mut Vec<State>) {
        if state.runs[run].is_redeem_pending {
            next.push(changed(state, |s| {
                let now = self.start + s.time * std::time::Duration::from_mins(10);
                s.table.redeem(&self.ticket, &self.team, FINGERPRINT, now);
                s.runs[run].is_redeem_pending = false;
            }));
        }
        match state.runs[run].phase {
            Phase::Queued => {
                next.push(changed(state, |s| send_to_leaf(s, run, Phase::Sent)));
                // The deadline passes while the request is queued, for example during a pause.
                next.push(changed(state, |s| {
                    self.complete(s, run, Answer::NotRun);
                    if self.mutation == Some(Mutation::SendAfterExpiry) {
                        s.runs[run].phase = Phase::CompletedInQueue;
                    }
                }));
            }
            Phase::CompletedInQueue => {
                next.push(changed(state, |s| send_to_leaf(s, run, Phase::Completed)));
            }
            // The deadline passes before the reply arrives.
            Phase::Sent => next.push(changed(state, |s| {
                let counts_as_not_run = self.mutation == Some(Mutation::ReleaseOnTimeout);
                let result = if counts_as_not_run {
                    Answer::NotRun
                } else {
                    Answer::Unknown
                };
                self.complete(s, run, result);
            })),
            Phase::Completed => {}
        }
    }

    /// Completes a run and answers its submissions.
    fn complete(&self, state: &mut State, run: usize, result: Answer) {
        let now = self.start + state.time * std::time::Duration::from_mins(10);
        match result {
            Answer::NotRun => state.table.release(&self.ticket),
            Answer::Ran => state.table.finish(&self.ticket, Arc::from(*b"ran"), now),
            Answer::Unknown => state
                .table
                .finish(&self.ticket, Arc::from(*b"unknown"), now),
        }
        state.runs[run].phase = Phase::Completed;
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

/// Records the first answer to a submission; the caller ignores later ones.
fn answer(state: &mut State, submission: u8, answer: Answer) {
    state.answers[usize::from(submission)].get_or_insert(answer);
}

fn start_run(state: &mut State, submission: u8, is_redeem_pending: bool) {
    state.runs.push(Run {
        phase: Phase::Queued,
        submissions: vec![submission],
        ran: false,
        is_redeem_pending,
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
