//! Judges from outside: what receivers obeyed, and when.

use cindercleat::coordination::fencing::FencedCommand;
use cindercleat::coordination::state::LeaseHolder;
use cindercleat::interface::Ms;
use std::collections::BTreeMap;

/// A rule of the duties that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub kind: &'static str,
    pub what: String,
}

/// What was obeyed, over all receivers.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    pub breaches: Vec<Breach>,
    /// The last acts before each breach.
    pub story: Vec<String>,
    last: Vec<String>,
    term: Option<u64>,
    holder: Option<LeaseHolder>,
    holders: BTreeMap<u64, LeaseHolder>,
    /// When any act was obeyed.
    at: Vec<Ms>,
}

/// Acts kept for the story.
const STORY: usize = 12;

impl Judge {
    /// A receiver obeyed an act. Two holders' acts overlap if one of an older term is obeyed anywhere after one
    /// of a newer term was obeyed anywhere.
    pub fn obeyed(&mut self, now: Ms, by: usize, act: &FencedCommand) {
        let (term, name) = (act.term.0, &act.holder.name.0);
        self.last.push(format!(
            "{now:.3} ms: receiver {by} obeyed act {} of term {term} by {name}",
            act.number
        ));
        if self.last.len() > STORY {
            self.last.remove(0);
        }
        if let Some(newest) = self.term.filter(|newest| *newest > term) {
            let newer = self.holders.get(&newest).map_or("", |h| &h.name.0);
            let what = format!(
                "at {now:.3} ms receiver {by} obeyed {name} in term {term}, after {newer} acted in term {newest}"
            );
            self.breach("overlap", what);
        }
        match self.holders.get(&term) {
            Some(holder) if *holder != act.holder => {
                let what = format!(
                    "at {now:.3} ms term {term} is {name}'s, and was {}'s",
                    holder.name.0
                );
                self.breach("a term twice", what);
            }
            Some(_) => {}
            None => {
                self.holders.insert(term, act.holder.clone());
            }
        }
        if self.term.is_none_or(|newest| term >= newest) {
            (self.term, self.holder) = (Some(term), Some(act.holder.clone()));
        }
        self.at.push(now);
    }

    /// With nothing in the way from `quiet_from` on, somebody is to act within `within`, and then goes on to.
    pub fn settled(&mut self, quiet_from: Ms, end: Ms, within: Ms, recovers: bool) {
        if !recovers || quiet_from + within > end {
            return;
        }
        let acted = self
            .at
            .iter()
            .any(|at| (quiet_from..quiet_from + within).contains(at));
        if !acted {
            let what = format!(
                "nobody acted within {within:.0} ms of {quiet_from:.0} ms, when all troubles were over"
            );
            self.breach("nobody", what);
        }
    }

    fn breach(&mut self, kind: &'static str, what: String) {
        if self.story.is_empty() {
            self.story.clone_from(&self.last);
        }
        self.breaches.push(Breach { kind, what });
    }

    /// A rule that another judge found broken, with its own story.
    pub fn breach_with(&mut self, kind: &'static str, what: String, story: &[String]) {
        if self.story.is_empty() {
            self.story.extend(story.iter().cloned());
        }
        self.breach(kind, what);
    }

    pub fn holder(&self) -> Option<&LeaseHolder> {
        self.holder.as_ref()
    }

    pub fn term(&self) -> Option<u64> {
        self.term
    }

    /// How many terms acts were obeyed of.
    pub fn terms(&self) -> u64 {
        self.holders.len() as u64
    }
}
