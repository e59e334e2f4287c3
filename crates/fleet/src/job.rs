//! Runs work outside of the dispatchers, such as an operator's command, under a lease: waits until the lease is held,
//! starts the work, asks for the lease again while the work runs, and ends the work before the lease expires if the
//! lease is not renewed.

use crate::admin_client::send_operator_request_to_any;
use cindercleat::coordination::job_lease::JobLease;
use cindercleat::coordination::member::{OperatorRequest, Reply};
use cindercleat::coordination::{LeaseName, Term};
use cindercleat::interface::Ms;
use cindercleat_net::{Clock, Transport};
use std::future::Future;
use std::io;

/// The timeout of a request for a lease that is not held yet, and of the request that releases a lease.
const ANSWER_TIMEOUT_MS: Ms = 950.0;
/// The time between two requests for a lease that is not held yet.
const ACQUIRE_RETRY_MS: Ms = 50.0;

/// Work that runs only while a lease is held.
pub trait Work {
    /// Starts the work. `term` is the term in which the lease is held. Called at most once.
    ///
    /// # Errors
    /// An I/O error if the work cannot be started.
    fn begin(&mut self, term: Term) -> io::Result<()>;

    /// How the work ended if it was not told to end: `Some(true)` after success, `Some(false)` after failure, `None`
    /// while it runs.
    ///
    /// # Errors
    /// An I/O error if it cannot be determined whether the work has ended.
    fn exit_status(&mut self) -> io::Result<Option<bool>>;

    /// Tells the work to end, and kills it if it still runs at `by`, a time of the job's clock in milliseconds.
    ///
    /// # Errors
    /// An I/O error if the work could not be ended.
    fn end(&mut self, by: Ms) -> impl Future<Output = io::Result<()>>;

    /// Reports why the lease is not held yet; `reason` is human-readable. Called at most once, after the first
    /// request that got no reply.
    fn report_waiting(&mut self, reason: &str);
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// The work ended without being told to. The value is true if it succeeded.
    ByItself(bool),
    /// The caller of [`Job::run`] stopped the job.
    Stopped,
    /// A dispatcher refused the lease. The value is the human-readable reason.
    Refused(String),
    /// The work was ended because the lease was lost or not renewed. The value is the human-readable reason.
    Lost(String),
}

/// Work that needs a lease, with the dispatchers that acquire the lease for it.
pub struct Job<'a, T, C> {
    /// The transport for the connections to the dispatchers.
    pub transport: &'a T,
    /// The clock on which the job measures its lease.
    pub clock: &'a C,
    /// The dispatchers' fleet addresses, tried in turn.
    pub addresses: &'a [String],
    /// The lease under which the work runs.
    pub lease_name: LeaseName,
    /// Distinguishes this job from other jobs that request the same lease.
    pub number: u64,
}

/// The next action of a job after a reply was handled.
enum NextStep {
    RequestLeaseAgain,
    End(JobOutcome),
}

impl<T: Transport, C: Clock> Job<'_, T, C> {
    /// Acquires the lease and runs the work, until `stop` completes, the work has ended, or the lease is refused or
    /// lost. When this function returns without an error, the work has ended.
    ///
    /// # Errors
    /// An error of [`Work`]: the work could not be started or ended, or its state could not be determined.
    pub async fn run(
        &self,
        work: &mut impl Work,
        stop: impl Future<Output = ()>,
    ) -> io::Result<JobOutcome> {
        tokio::pin!(stop);
        let mut lease: Option<JobLease> = None;
        let mut wait_is_reported = false;
        loop {
            let step = async {
                let asked_at = self.clock.now();
                let reply = self.request_lease(asked_at, lease.as_ref()).await;
                if let (None, Err(reason), false) = (&lease, &reply, wait_is_reported) {
                    wait_is_reported = true;
                    work.report_waiting(reason);
                }
                let next = self
                    .handle_reply(asked_at, &reply, &mut lease, work)
                    .await?;
                if let NextStep::RequestLeaseAgain = next {
                    let wait = lease
                        .as_ref()
                        .map_or(ACQUIRE_RETRY_MS, JobLease::ask_interval);
                    self.clock.sleep_until(self.clock.now() + wait).await;
                }
                io::Result::Ok(next)
            };
            let next = tokio::select! { biased;
                () = &mut stop => {
                    work.end(lease.as_ref().map_or(0.0, JobLease::expires_at)).await?;
                    self.release_lease().await;
                    return Ok(JobOutcome::Stopped);
                }
                next = step => next?,
            };
            if let NextStep::End(ended) = next {
                return Ok(ended);
            }
        }
    }

    /// Requests the lease. While the lease is held the timeout is at most a fraction of the lease duration, so that a
    /// missing answer does not keep the job from ending its work in time.
    async fn request_lease(&self, asked_at: Ms, lease: Option<&JobLease>) -> Result<Reply, String> {
        let timeout = lease.map_or(ANSWER_TIMEOUT_MS, JobLease::answer_timeout);
        let request = OperatorRequest::HoldLease {
            lease_name: self.lease_name.clone(),
            job: self.number,
        };
        tokio::select! { biased;
            reply = send_operator_request_to_any(
                self.transport,
                self.clock,
                self.addresses,
                &request,
                ANSWER_TIMEOUT_MS,
            ) => reply,
            () = self.clock.sleep_until(asked_at + timeout) => Err(format!("no answer within {timeout:.0} ms")),
        }
    }

    async fn handle_reply(
        &self,
        asked_at: Ms,
        reply: &Result<Reply, String>,
        lease: &mut Option<JobLease>,
        work: &mut impl Work,
    ) -> io::Result<NextStep> {
        match reply {
            Ok(Reply::LeaseHold {
                term: Some(term),
                valid_for,
            }) => match lease {
                None => {
                    *lease = Some(JobLease::new(*term, asked_at, *valid_for));
                    work.begin(*term)?;
                }
                Some(held) => {
                    if held.renew(*term, asked_at, *valid_for).is_err() {
                        work.end(held.expires_at()).await?;
                        return Ok(NextStep::End(JobOutcome::Lost(
                            "the lease has a new term: another process may have held the lease in between"
                                .to_owned(),
                        )));
                    }
                }
            },
            Ok(Reply::Refused(reason)) => {
                work.end(lease.map_or(0.0, |held| held.expires_at()))
                    .await?;
                return Ok(NextStep::End(JobOutcome::Refused(reason.clone())));
            }
            // The lease is not held yet, the lease is no longer held, or no dispatcher answered.
            Ok(_) | Err(_) => {}
        }
        let Some(held) = lease else {
            return Ok(NextStep::RequestLeaseAgain);
        };
        if held.is_running_out(self.clock.now()) {
            work.end(held.kill_at()).await?;
            let reason = match reply {
                Ok(Reply::LeaseHold { .. }) => "the lease was not renewed",
                Ok(_) => "the dispatcher no longer reports the lease as held",
                Err(error) => error,
            };
            return Ok(NextStep::End(JobOutcome::Lost(reason.to_owned())));
        }
        if let Some(success) = work.exit_status()? {
            self.release_lease().await;
            return Ok(NextStep::End(JobOutcome::ByItself(success)));
        }
        Ok(NextStep::RequestLeaseAgain)
    }

    /// Releases the lease. If no dispatcher receives the request, the next holder waits until the lease has expired.
    async fn release_lease(&self) {
        let request = OperatorRequest::ReleaseLease {
            lease_name: self.lease_name.clone(),
            job: self.number,
        };
        let _ = send_operator_request_to_any(
            self.transport,
            self.clock,
            self.addresses,
            &request,
            ANSWER_TIMEOUT_MS,
        )
        .await;
    }
}
