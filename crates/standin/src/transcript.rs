//! What stand-ins saw: each frame that crossed a socket of theirs, with its instant and both ends, and notes of
//! what no frame shows (an engine that started, a dispatcher that was killed).

use cindercleat_net::Ms;
use cindercleat_protocol::{name_of, v1, Frame};
use prost::Message;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::io::{self, BufRead, Write};
use std::rc::Rc;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Way {
    In,
    Out,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Note {
    /// An engine's process starts with this much capacity once warm, in units a second (see `audit`).
    Started {
        capacity: f64,
        start_share: f64,
        #[serde(rename = "ramp")]
        slow_start_window: Ms,
    },
    Died,
    /// A dispatcher's process is kept from running from now on, and runs again.
    Asleep,
    Awake,
    /// A connection of the seer is over; by its own doing, or not.
    Closed {
        own: bool,
    },
    /// An engine began to answer: from here on the request has had its effect.
    Ran {
        key: String,
        #[serde(rename = "profile")]
        request_class: String,
    },
    /// A prefill engine's own time limit let a state go.
    Expired {
        run: u64,
        #[serde(rename = "task")]
        request: u32,
        #[serde(rename = "launch")]
        attempt: u32,
    },
    /// A dispatcher was killed outright.
    Killed,
}

impl Note {
    /// What a digest of a day takes of a note: the same text whatever the code calls the note and its fields, so that
    /// digests of different versions can be compared.
    pub fn digest_text(&self) -> String {
        match self {
            Note::Started {
                capacity,
                start_share,
                slow_start_window,
            } => {
                format!("Started {{ capacity: {capacity:?}, start_share: {start_share:?}, ramp: {slow_start_window:?} }}")
            }
            Note::Died => "Died".to_owned(),
            Note::Asleep => "Asleep".to_owned(),
            Note::Awake => "Awake".to_owned(),
            Note::Closed { own } => format!("Closed {{ own: {own} }}"),
            Note::Ran { key, request_class } => {
                format!("Ran {{ key: {key:?}, profile: {request_class:?} }}")
            }
            Note::Expired {
                run,
                request,
                attempt,
            } => {
                format!("Expired {{ run: {run}, task: {request}, launch: {attempt} }}")
            }
            Note::Killed => "Killed".to_owned(),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
#[allow(clippy::large_enum_variant)]
pub enum What {
    Frame(Way, Frame),
    Note(Note),
}

/// One record: who saw it, with whom, on which of the seer's connections, when.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub at: Ms,
    pub seer: Rc<str>,
    pub peer: Rc<str>,
    pub conn: u64,
    pub what: What,
}

type Watcher = Box<dyn FnMut(&Record)>;

/// A transcript that grows; clones are the same one.
#[derive(Clone, Default)]
pub struct Transcript {
    records: Rc<RefCell<Vec<Record>>>,
    conns: Rc<RefCell<u64>>,
    watcher: Rc<RefCell<Option<Watcher>>>,
}

impl Transcript {
    pub fn new_conn(&self) -> u64 {
        *self.conns.borrow_mut() += 1;
        *self.conns.borrow()
    }

    pub fn add(&self, at: Ms, seer: &Rc<str>, peer: &Rc<str>, conn: u64, what: What) {
        let record = Record {
            at,
            seer: seer.clone(),
            peer: peer.clone(),
            conn,
            what,
        };
        if let Some(watcher) = &mut *self.watcher.borrow_mut() {
            watcher(&record);
        }
        self.records.borrow_mut().push(record);
    }

    /// Each record is shown as it is made.
    pub fn watch(&self, watcher: impl FnMut(&Record) + 'static) {
        *self.watcher.borrow_mut() = Some(Box::new(watcher));
    }

    pub fn note(&self, at: Ms, seer: &Rc<str>, note: Note) {
        self.add(at, seer, &Rc::from(""), 0, What::Note(note));
    }

    pub fn records(&self) -> Vec<Record> {
        self.records.borrow().clone()
    }
}

#[derive(Serialize, Deserialize)]
struct Line {
    at: Ms,
    seer: String,
    peer: String,
    conn: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    note: Option<Note>,
    #[serde(skip_serializing_if = "Option::is_none")]
    way: Option<Way>,
    /// For who reads the file; what counts is `frame`.
    #[serde(default)]
    message: String,
    #[serde(default)]
    stream: u64,
    #[serde(default)]
    frame: String,
}

/// One JSON object a line, a record each.
///
/// # Errors
/// The decode engine's.
pub fn write(records: &[Record], mut to: impl Write) -> io::Result<()> {
    for record in records {
        let (note, way, frame) = match &record.what {
            What::Note(note) => (Some(note.clone()), None, None),
            What::Frame(way, frame) => (None, Some(*way), Some(frame)),
        };
        let hex = |frame: &Frame| {
            frame
                .encode_to_vec()
                .iter()
                .map(|b| format!("{b:02x}"))
                .collect::<String>()
        };
        let line = Line {
            at: record.at,
            seer: record.seer.to_string(),
            peer: record.peer.to_string(),
            conn: record.conn,
            note,
            way,
            message: frame
                .map(|f| name_of(f.body.as_ref()).to_owned())
                .unwrap_or_default(),
            stream: frame.map_or(0, |f| f.stream),
            frame: frame.map(hex).unwrap_or_default(),
        };
        serde_json::to_writer(&mut to, &line)?;
        to.write_all(b"\n")?;
    }
    Ok(())
}

/// # Errors
/// The prefill engine's, or a line that is no record, by its number.
pub fn read(from: impl BufRead) -> io::Result<Vec<Record>> {
    let bad = |number: usize, what: String| {
        io::Error::new(io::ErrorKind::InvalidData, format!("line {number}: {what}"))
    };
    let mut records = Vec::new();
    for (number, line) in from.lines().enumerate() {
        let line: Line =
            serde_json::from_str(&line?).map_err(|e| bad(number + 1, e.to_string()))?;
        let what = match (line.note, line.way) {
            (Some(note), _) => What::Note(note),
            (None, Some(way)) => {
                let byte = |at: usize| {
                    line.frame
                        .get(at..at + 2)
                        .and_then(|b| u8::from_str_radix(b, 16).ok())
                };
                let bytes: Option<Vec<u8>> = (0..line.frame.len()).step_by(2).map(byte).collect();
                let frame = bytes.and_then(|b| v1::Frame::decode(&*b).ok());
                What::Frame(
                    way,
                    frame.ok_or_else(|| bad(number + 1, "no frame".to_owned()))?,
                )
            }
            (None, None) => return Err(bad(number + 1, "neither a note nor a frame".to_owned())),
        };
        let (seer, peer) = (Rc::from(line.seer), Rc::from(line.peer));
        records.push(Record {
            at: line.at,
            seer,
            peer,
            conn: line.conn,
            what,
        });
    }
    Ok(records)
}
