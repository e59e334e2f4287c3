//! The transcript of the stand-ins: each frame that crossed one of their sockets, with its time and both ends, and
//! notes of events that no frame shows, such as the start of an engine or the kill of a dispatcher.

use cindercleat_net::Ms;
use cindercleat_protocol::{message_name, v1, Frame};
use prost::Message;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::io::{self, BufRead, Write};
use std::rc::Rc;

/// The direction of a frame, as seen from the stand-in that recorded it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Way {
    /// The stand-in received the frame.
    In,
    /// The stand-in sent the frame.
    Out,
}

/// An event that no frame shows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Note {
    /// A cold engine process starts. `capacity` is its capacity once warm, in units of work per second (see `audit`);
    /// `start_share` is the share of it that is available at the start, which grows to 1 within `slow_start_window`.
    Started {
        capacity: f64,
        start_share: f64,
        #[serde(rename = "ramp")]
        slow_start_window: Ms,
    },
    /// An engine process ended abruptly.
    Died,
    /// A dispatcher process is suspended until the next `Awake` note that names the same process.
    Asleep,
    /// A suspended dispatcher process runs again.
    Awake,
    /// A connection of the recording stand-in ended. `own` is set if the stand-in closed the connection itself.
    Closed { own: bool },
    /// An engine began to decode: from here on the request counts as executed.
    Ran {
        key: String,
        #[serde(rename = "profile")]
        request_class: String,
    },
    /// A prefill engine dropped a KV state because its hold time was over.
    Expired {
        run: u64,
        #[serde(rename = "task")]
        request: u32,
        #[serde(rename = "launch")]
        attempt: u32,
    },
    /// A dispatcher process was killed without a drain.
    Killed,
}

impl Note {
    /// The text of a note that enters a day's digest. The text is independent of the names in the code, so that digests
    /// of different versions stay comparable.
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

/// The content of a record.
#[derive(Clone, Debug, PartialEq)]
#[allow(clippy::large_enum_variant)]
pub enum What {
    /// A frame that crossed a socket of the stand-in.
    Frame(Way, Frame),
    /// An event that no frame shows.
    Note(Note),
}

/// One record of a transcript: a frame or note, and the stand-in that recorded it.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// When the stand-in saw the frame or the event.
    pub at: Ms,
    /// The name of the party that the record is about: the stand-in that saw the frame, or the subject of a note.
    pub seer: Rc<str>,
    /// The name of the other end of the connection; empty in a note that belongs to no connection.
    pub peer: Rc<str>,
    /// The number of the connection; 0 in a note that belongs to no connection.
    pub conn: u64,
    pub what: What,
}

/// A function that is called with each new record.
type Watcher = Box<dyn FnMut(&Record)>;

/// An append-only transcript. Clones share one list of records.
#[derive(Clone, Default)]
pub struct Transcript {
    records: Rc<RefCell<Vec<Record>>>,
    /// How many connection numbers have been given out.
    connections: Rc<RefCell<u64>>,
    /// Called with each record that is added, if it is set.
    watcher: Rc<RefCell<Option<Watcher>>>,
}

impl Transcript {
    /// Returns a connection number that is unique in this transcript; the first one is 1.
    pub fn new_conn(&self) -> u64 {
        *self.connections.borrow_mut() += 1;
        *self.connections.borrow()
    }

    /// Appends a record and passes it to the watcher, if there is one.
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

    /// Calls `watcher` with each record that is added from now on; replaces the previous watcher.
    pub fn watch(&self, watcher: impl FnMut(&Record) + 'static) {
        *self.watcher.borrow_mut() = Some(Box::new(watcher));
    }

    /// Appends a note that belongs to no connection.
    pub fn note(&self, at: Ms, seer: &Rc<str>, note: Note) {
        self.add(at, seer, &Rc::from(""), 0, What::Note(note));
    }

    /// A copy of all records, in the order in which they were added.
    pub fn records(&self) -> Vec<Record> {
        self.records.borrow().clone()
    }
}

/// A record as a line of the transcript file has it: either `note` is set, or `way` and the fields of a frame are.
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
    /// The name of the frame's message, for people who read the file. [`read`] ignores it.
    #[serde(default)]
    message: String,
    /// The number of the frame's stream, for people who read the file. [`read`] ignores it.
    #[serde(default)]
    stream: u64,
    /// The encoded frame, in hexadecimal.
    #[serde(default)]
    frame: String,
}

/// Writes one JSON object per record, each on its own line.
///
/// # Errors
/// Returns the writer's error.
pub fn write(records: &[Record], mut writer: impl Write) -> io::Result<()> {
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
                .map(|f| message_name(f.body.as_ref()).to_owned())
                .unwrap_or_default(),
            stream: frame.map_or(0, |f| f.stream),
            frame: frame.map(hex).unwrap_or_default(),
        };
        serde_json::to_writer(&mut writer, &line)?;
        writer.write_all(b"\n")?;
    }
    Ok(())
}

/// Reads records that [`write()`] wrote.
///
/// # Errors
/// Returns the reader's error, or `InvalidData` with the line number for a line that is not a record.
pub fn read(reader: impl BufRead) -> io::Result<Vec<Record>> {
    let invalid_line = |number: usize, problem: String| {
        io::Error::new(
            io::ErrorKind::InvalidData,
            format!("line {number}: {problem}"),
        )
    };
    let mut records = Vec::new();
    for (number, line) in reader.lines().enumerate() {
        let line: Line =
            serde_json::from_str(&line?).map_err(|e| invalid_line(number + 1, e.to_string()))?;
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
                    frame.ok_or_else(|| {
                        invalid_line(
                            number + 1,
                            "frame is not a valid hexadecimal encoding".to_owned(),
                        )
                    })?,
                )
            }
            (None, None) => {
                return Err(invalid_line(
                    number + 1,
                    "record has neither a note nor a frame".to_owned(),
                ))
            }
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
