//! Admission: joins a request to a known submission, or checks it and claims or refuses it.

use std::sync::Arc;
use std::time::Duration;

use admission::{QueueLoad, estimate_completion};
use claims::{Age, Round};
use model::{Code, Digest, Failure, SubmissionId, Time, Verdict};
use settings::{Catalog, KindSettings, ServiceState};
use wire::{RelayReply, RelayRequest};

use crate::gather::Gather;
use crate::job::{Job, Phase};
use crate::{Action, CallId, Entry};

/// Time limit for a request of an unknown kind, which is claimed only to prove its refusal.
const REFUSAL_DEADLINE: Duration = Duration::from_secs(2);
/// Retry delay sent with refusals that have no estimate, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

impl Entry {
    /// Processes a submitted request: joins a known submission, or checks the request and claims
    /// it to run it or to refuse it with proof.
    pub(crate) fn submit(
        &mut self,
        now: Time,
        call: CallId,
        request: RelayRequest,
        relayed: bool,
        actions: &mut Vec<Action>,
    ) {
        self.counters.submitted += 1;
        let texts = request.tasks.iter().map(|text| &**text);
        let digest = Digest::of(&request.service, &request.kind, request.repeatable, texts);
        if self.table.get(request.submission).is_some() {
            return self.join_known(now, call, digest, request, actions);
        }
        let Some(catalog) = self.catalog.clone() else {
            let failure = Failure::new(Code::NotReady, Verdict::MayHaveRun, "no settings yet");
            return respond(call, Err(failure.retry_after(RETRY_AFTER_MS)), actions);
        };
        if let Err(failure) = check_age(request.submission, &catalog, now) {
            self.count_refusal(failure.code);
            return respond(call, Err(failure), actions);
        }
        let checked = self.check_request(now, &catalog, &request);
        let job = self.new_job(now, call, digest, &catalog, &request);
        if request.repeatable {
            return self.submit_repeatable(now, job, &request, checked, actions);
        }
        self.submit_claimed(now, job, request, relayed, checked, actions);
    }

    /// Answers a request for a known submission, adds it to the waiting callers, or retries a
    /// submission that has not started.
    fn join_known(
        &mut self,
        now: Time,
        call: CallId,
        digest: Digest,
        request: RelayRequest,
        actions: &mut Vec<Action>,
    ) {
        self.counters.joined += 1;
        let id = request.submission;
        let Some(job) = self.table.get_mut(id) else { return };
        if job.digest != digest {
            return respond(call, Err(id_conflict(id)), actions);
        }
        match &mut job.phase {
            Phase::Done(reply) => respond(call, reply.clone(), actions),
            Phase::Refused { failure, until } if now < *until => {
                // The earlier refusal may still be in transit to its caller and must stay true.
                respond(call, Err(failure.clone()), actions);
            }
            Phase::Undecided | Phase::Refused { .. } => {
                self.retry_inactive(now, call, request, actions);
            }
            _ => job.waiters.push(call),
        }
    }

    /// Retries a submission that was refused here or whose claim round had no quorum.
    fn retry_inactive(
        &mut self,
        now: Time,
        call: CallId,
        request: RelayRequest,
        actions: &mut Vec<Action>,
    ) {
        let id = request.submission;
        let Some(catalog) = self.catalog.clone() else { return };
        if let Err(failure) = check_age(id, &catalog, now) {
            return respond(call, Err(failure), actions);
        }
        let checked = self.check_request(now, &catalog, &request);
        let Some(job) = self.table.get_mut(id) else { return };
        job.waiters.push(call);
        job.kind = catalog.kind(&request.service, &request.kind).cloned();
        let deadline = deadline_at(now, &catalog, job.kind.as_deref(), &request);
        let owned = matches!(job.phase, Phase::Refused { .. });
        match checked {
            Ok(_) if owned => {
                let phase = Phase::Admitted(Gather::new(&request.tasks));
                self.table.reactivate(id, phase, deadline);
                self.enqueue(now, id, actions);
            }
            Err(failure) if owned => self.refuse_owned(now, id, failure, actions),
            checked => {
                job.claimed_before = true;
                let phase = self.claim_phase(now, request, checked);
                self.table.reactivate(id, phase, deadline);
                self.claim(now, id, actions);
            }
        }
    }

    /// Checks whether a request can be admitted. The failure's verdict is `MayHaveRun` until a
    /// claim proves "not run".
    fn check_request(
        &self,
        now: Time,
        catalog: &Catalog,
        request: &RelayRequest,
    ) -> Result<Arc<KindSettings>, Failure> {
        let refuse = |code, message: String| Err(Failure::new(code, Verdict::MayHaveRun, message));
        let (service, kind) = (&request.service, &request.kind);
        let Some(settings) = catalog.kind(service, kind) else {
            if catalog.has_service(service) {
                return refuse(Code::UnknownKind, format!("{service} has no kind '{kind}'"));
            }
            return refuse(Code::UnknownService, format!("no service '{service}'"));
        };
        check_size(settings, request)?;
        if self.settings_are_stale(now) {
            return refuse(Code::NotReady, "settings can't be confirmed".to_owned())
                .map_err(|failure: Failure| failure.retry_after(RETRY_AFTER_MS));
        }
        if settings.state == ServiceState::Stopped {
            return refuse(Code::ServiceStopped, format!("{service}/{kind} is stopped"));
        }
        self.check_load(catalog, settings, request)?;
        Ok(settings.clone())
    }

    /// Refuses a request whose estimated completion is past its deadline or whose service has no
    /// usable target.
    fn check_load(
        &self,
        catalog: &Catalog,
        kind: &KindSettings,
        request: &RelayRequest,
    ) -> Result<(), Failure> {
        let Some(service) = self.services.get(&kind.service).filter(|service| service.slots > 0)
        else {
            let message = format!("no target takes work of {}", kind.service);
            let failure = Failure::new(Code::NoTarget, Verdict::MayHaveRun, message);
            return Err(failure.retry_after(RETRY_AFTER_MS));
        };
        let Some(times) = self.kinds.times(kind) else { return Ok(()) };
        let weight = catalog.team(&kind.team).weight;
        let load = QueueLoad {
            tasks_ahead: service.queue.tasks_ahead(&kind.team, weight),
            idle_slots: service.pool.idle_tokens(),
            slots: service.usable_slots(self.entry_count),
        };
        let estimate = estimate_completion(times, load, request.tasks.len());
        let limit = time_limit(kind, request);
        if estimate <= limit {
            return Ok(());
        }
        let message =
            format!("would take about {} ms of {} ms", estimate.as_millis(), limit.as_millis());
        let wait = u64::try_from((estimate - limit).as_millis()).unwrap_or(RETRY_AFTER_MS);
        Err(Failure::new(Code::Overloaded, Verdict::MayHaveRun, message).retry_after(wait.max(1)))
    }

    /// Creates the job of a new request, in the phase `Undecided`.
    fn new_job(
        &mut self,
        now: Time,
        call: CallId,
        digest: Digest,
        catalog: &Catalog,
        request: &RelayRequest,
    ) -> Job {
        let kind = catalog.kind(&request.service, &request.kind).cloned();
        self.arrivals += 1;
        let team = kind.as_ref().map_or("", |kind| kind.team.as_str());
        Job {
            digest,
            repeatable: request.repeatable,
            team: Arc::from(team),
            label: Arc::from(format!("{}/{}", request.service, request.kind)),
            arrival: self.arrivals,
            deadline: deadline_at(now, catalog, kind.as_deref(), request),
            waits_since: now,
            kind,
            claimed_before: false,
            may_relay: true,
            waiters: vec![call],
            phase: Phase::Undecided,
        }
    }

    /// Admits or refuses a repeatable request, which needs no claim since running it twice is
    /// harmless.
    fn submit_repeatable(
        &mut self,
        now: Time,
        mut job: Job,
        request: &RelayRequest,
        checked: Result<Arc<KindSettings>, Failure>,
        actions: &mut Vec<Action>,
    ) {
        let id = request.submission;
        match checked {
            Ok(kind) => {
                self.kinds.get_mut(&kind).add_retry_credit(kind.retry_share);
                job.phase = Phase::Admitted(Gather::new(&request.tasks));
                self.table.insert(id, job);
                self.enqueue(now, id, actions);
            }
            Err(mut failure) => {
                self.count_refusal(failure.code);
                failure.verdict = Verdict::NotRun;
                self.table.insert(id, job);
                self.answer_and_remove(id, &Err(failure), actions);
            }
        }
    }

    /// Claims a request that must run at most once, also to refuse it: only the owner can prove
    /// "not run".
    fn submit_claimed(
        &mut self,
        now: Time,
        mut job: Job,
        request: RelayRequest,
        relayed: bool,
        checked: Result<Arc<KindSettings>, Failure>,
        actions: &mut Vec<Action>,
    ) {
        let id = request.submission;
        job.may_relay = !relayed;
        job.phase = self.claim_phase(now, request, checked);
        self.table.insert(id, job);
        self.claim(now, id, actions);
    }

    /// Opens a claim round to admit a request or, if a check failed, to refuse it with proof.
    fn claim_phase(
        &self,
        now: Time,
        request: RelayRequest,
        checked: Result<Arc<KindSettings>, Failure>,
    ) -> Phase {
        let round = Round::new(self.views.holders(request.submission, now));
        let request = Arc::new(request);
        match checked {
            Ok(_) => Phase::Claiming { round, request },
            Err(failure) => Phase::Refusing { round, request, failure },
        }
    }

    /// Answers a caller that asks for the outcome of a submission, or looks up its owner.
    pub(crate) fn fetch(
        &mut self,
        now: Time,
        call: CallId,
        submission: SubmissionId,
        relayed: bool,
        actions: &mut Vec<Action>,
    ) {
        if let Some(job) = self.table.get_mut(submission) {
            match &job.phase {
                Phase::Done(reply) => return respond(call, reply.clone(), actions),
                Phase::Undecided | Phase::Refused { .. } => {
                    return respond(call, Err(not_started()), actions);
                }
                _ => return job.waiters.push(call),
            }
        }
        if relayed {
            let message = "its owner does not know the submission";
            let failure = Failure::new(Code::UnknownId, Verdict::MayHaveRun, message);
            return respond(call, Err(failure), actions);
        }
        let Some(catalog) = self.catalog.clone() else {
            let failure = Failure::new(Code::NotReady, Verdict::MayHaveRun, "no settings yet");
            return respond(call, Err(failure.retry_after(RETRY_AFTER_MS)), actions);
        };
        if let Err(failure) = check_age(submission, &catalog, now) {
            return respond(call, Err(failure), actions);
        }
        self.look_up_owner(now, submission, call, actions);
    }
}

/// Appends the answer to one caller.
pub(crate) fn respond(call: CallId, reply: RelayReply, actions: &mut Vec<Action>) {
    actions.push(Action::Respond { call, reply });
}

/// The failure of a fetch of a submission that was refused here or whose claim round had no quorum.
fn not_started() -> Failure {
    let message = "it was refused here and has not started; submit it again";
    Failure::new(Code::UnknownId, Verdict::MayHaveRun, message)
}

/// The failure of a request that reuses the id of a submission with different work.
pub(crate) fn id_conflict(id: SubmissionId) -> Failure {
    let message = format!("{id} was used before with other work");
    Failure::new(Code::IdConflict, Verdict::MayHaveRun, message)
}

/// The time allowed for the answer: the request's own, or else the default of its kind.
fn time_limit(kind: &KindSettings, request: &RelayRequest) -> Duration {
    request.deadline_ms.map_or(kind.deadline, Duration::from_millis)
}

/// The deadline of a request.
///
/// It is always before the time at which agents may forget the submission, so that no task starts
/// whose earlier start has been forgotten.
fn deadline_at(
    now: Time,
    catalog: &Catalog,
    kind: Option<&KindSettings>,
    request: &RelayRequest,
) -> Time {
    let window = Entry::window(catalog.fleet());
    let limit = kind.map_or(REFUSAL_DEADLINE, |kind| time_limit(kind, request));
    (now + limit).min(window.kept_until(request.submission) - window.clock_skew * 2)
}

/// Checks that a submission id is neither too old nor too new to be admitted.
fn check_age(id: SubmissionId, catalog: &Catalog, now: Time) -> Result<(), Failure> {
    let (code, verdict, message) = match Entry::window(catalog.fleet()).age(id, now) {
        Age::Known => return Ok(()),
        Age::TooOld => (
            Code::IdTooOld,
            Verdict::MayHaveRun,
            "the id was made too long ago to know whether it ran",
        ),
        Age::TooNew => {
            (Code::IdTooNew, Verdict::MayHaveRun, "the id's time is ahead of this entry's clock")
        }
        Age::Impossible => {
            (Code::IdTooNew, Verdict::NotRun, "the id's time is far ahead of every entry's clock")
        }
    };
    Err(Failure::new(code, verdict, message))
}

/// Checks the number of tasks and their sizes against the limits of the kind.
fn check_size(kind: &KindSettings, request: &RelayRequest) -> Result<(), Failure> {
    let tasks = request.tasks.len();
    let too_large = |message| Err(Failure::new(Code::TooLarge, Verdict::MayHaveRun, message));
    if tasks > kind.tasks_max {
        return too_large(format!("{tasks} tasks, at most {}", kind.tasks_max));
    }
    let longest = request.tasks.iter().map(|text| text.len()).max().unwrap_or(0);
    if longest > kind.task_bytes_max {
        return too_large(format!("a task of {longest} bytes, at most {}", kind.task_bytes_max));
    }
    Ok(())
}
