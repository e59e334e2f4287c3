//! Holds a duty for work outside of the dispatchers, such as an operator's command: waits until the duty is held, begins
//! the work, asks for the lease again while it goes on, and ends it in time when the lease is not renewed.

use crate::admin_client::order_any;
use cindercleat::coordination::job_lease::JobLease;
use cindercleat::coordination::member::{OperatorRequest, Reply};
use cindercleat::coordination::{LeaseName, Term};
use cindercleat::interface::Ms;
use cindercleat_net::{Clock, Transport};
use std::future::Future;
use std::io;

/// While the duty is not held yet: for how long an answer is waited for, and how often it is asked for.
const ANSWER_WITHIN: Ms = 950.0;
const ASK_EVERY: Ms = 50.0;

/// What is done while a duty is held.
pub trait Work {
    /// The duty is held under this term.
    ///
    /// # Errors
    /// The work cannot begin.
    fn begin(&mut self, term: Term) -> io::Result<()>;

    /// Whether the work has ended by itself, and how: true for success.
    ///
    /// # Errors
    /// It cannot be told.
    fn ended(&mut self) -> io::Result<Option<bool>>;

    /// Ends the work, by force if it has not ended by an instant.
    ///
    /// # Errors
    /// It could not be ended.
    fn end(&mut self, by: Ms) -> impl Future<Output = io::Result<()>>;

    /// The duty is not held yet, for this reason. Said once.
    fn waits(&mut self, why: &str);
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The work ended by itself, with success or not.
    ByItself(bool),
    /// It was told to stop.
    Stopped,
    /// The duty was refused, for this reason.
    Refused(String),
    /// The duty was lost, for this reason.
    Lost(String),
}

/// A job: which duty it needs, and whom it asks for it.
pub struct Job<'a, T, C> {
    pub transport: &'a T,
    pub clock: &'a C,
    /// Dispatchers that may be asked, tried in turn.
    pub addresses: &'a [String],
    pub lease_name: LeaseName,
    /// Tells this job from others that want the same duty.
    pub number: u64,
}

/// What a job does next.
enum Next {
    Ask,
    End(Ended),
}

impl<T: Transport, C: Clock> Job<'_, T, C> {
    /// Holds the duty and does the work, until `stop` is there, the work has ended, or the duty is lost.
    ///
    /// # Errors
    /// The work could not be begun or ended.
    pub async fn run(
        &self,
        work: &mut impl Work,
        stop: impl Future<Output = ()>,
    ) -> io::Result<Ended> {
        tokio::pin!(stop);
        let mut lease: Option<JobLease> = None;
        let mut said = false;
        loop {
            let step = async {
                let asked = self.clock.now();
                let reply = self.ask(asked, lease.as_ref()).await;
                if let (None, Err(why), false) = (&lease, &reply, said) {
                    said = true;
                    work.waits(why);
                }
                let next = self.take_reply(asked, &reply, &mut lease, work).await?;
                if let Next::Ask = next {
                    let wait = lease.as_ref().map_or(ASK_EVERY, JobLease::ask_again_after);
                    self.clock.sleep_until(self.clock.now() + wait).await;
                }
                io::Result::Ok(next)
            };
            let next = tokio::select! { biased;
                () = &mut stop => {
                    work.end(lease.as_ref().map_or(0.0, JobLease::until)).await?;
                    self.let_go().await;
                    return Ok(Ended::Stopped);
                }
                next = step => next?,
            };
            if let Next::End(ended) = next {
                return Ok(ended);
            }
        }
    }

    /// What is sure does not wait for an answer that may not come.
    async fn ask(&self, asked: Ms, lease: Option<&JobLease>) -> Result<Reply, String> {
        let within = lease.map_or(ANSWER_WITHIN, JobLease::answer_within);
        let wish = OperatorRequest::HoldLease {
            lease_name: self.lease_name.clone(),
            job: self.number,
        };
        tokio::select! { biased;
            reply = order_any(self.transport, self.clock, self.addresses, &wish, ANSWER_WITHIN) => reply,
            () = self.clock.sleep_until(asked + within) => Err("no answer in time".to_owned()),
        }
    }

    async fn take_reply(
        &self,
        asked: Ms,
        reply: &Result<Reply, String>,
        lease: &mut Option<JobLease>,
        work: &mut impl Work,
    ) -> io::Result<Next> {
        match reply {
            Ok(Reply::Holds {
                term: Some(term),
                good_for,
            }) => match lease {
                None => {
                    *lease = Some(JobLease::new(*term, asked, *good_for));
                    work.begin(*term)?;
                }
                Some(held) => {
                    if held.renew(*term, asked, *good_for).is_err() {
                        work.end(held.until()).await?;
                        return Ok(Next::End(Ended::Lost("it has another term".to_owned())));
                    }
                }
            },
            Ok(Reply::Refused(why)) => {
                work.end(lease.map_or(0.0, |held| held.until())).await?;
                return Ok(Next::End(Ended::Refused(why.clone())));
            }
            // Not held yet, or any more; or nobody answers.
            Ok(_) | Err(_) => {}
        }
        let Some(held) = lease else {
            return Ok(Next::Ask);
        };
        if held.is_running_out(self.clock.now()) {
            work.end(held.kill_at()).await?;
            let why = match reply {
                Ok(Reply::Holds { .. }) => "its lease was not renewed",
                Ok(_) => "it is not said to be held any more",
                Err(why) => why,
            };
            return Ok(Next::End(Ended::Lost(why.to_owned())));
        }
        if let Some(success) = work.ended()? {
            self.let_go().await;
            return Ok(Next::End(Ended::ByItself(success)));
        }
        Ok(Next::Ask)
    }

    /// Gives the duty up. Whoever does not hear of it waits for the lease.
    async fn let_go(&self) {
        let order = OperatorRequest::LetGo {
            lease_name: self.lease_name.clone(),
            job: self.number,
        };
        let _ = order_any(
            self.transport,
            self.clock,
            self.addresses,
            &order,
            ANSWER_WITHIN,
        )
        .await;
    }
}
