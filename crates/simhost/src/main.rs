//! Runs the dispatchers of a simulation, each as one [`Control`] instance. The program translates lines of the
//! simulator's protocol into events of the decision module, and its actions into lines. The program makes no decisions
//! itself, and the instances share no state.

mod wire;

use cindercleat::control::Control;
use cindercleat::interface::{Action, Event, Ms};
use cindercleat_conf::Malformed;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use wire::{Line, Parser};

/// One dispatcher: its decision module, and the events that it has received in the current batch.
struct Instance {
    control: Control,
    events: Vec<Event>,
}

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut instances: BTreeMap<u32, Instance> = BTreeMap::new();
    let mut parser = Parser::default();
    let mut batch: Option<(Ms, u64)> = None;
    let mut line_bytes = Vec::new();
    let mut actions: Vec<Action> = Vec::new();
    loop {
        line_bytes.clear();
        let read = input
            .read_until(b'\n', &mut line_bytes)
            .map_err(|e| format!("standard input: {e}"))?;
        if read == 0 {
            return match batch {
                None => Ok(()),
                Some(_) => Err(parser.at_line(Malformed::new("flush", "the end of the input"))),
            };
        }
        let line = parser
            .line(&line_bytes, batch.is_some())
            .map_err(|malformed| parser.at_line(malformed))?;
        match line {
            Line::Empty => {}
            Line::Begin { now, number } => batch = Some((now, number)),
            Line::Start {
                instance,
                seed,
                settings,
            } => {
                let control = Control::new(*settings, seed);
                instances.insert(
                    instance,
                    Instance {
                        control,
                        events: Vec::new(),
                    },
                );
            }
            Line::PowerOff { instance } => {
                instances.remove(&instance);
            }
            Line::Event { instance, event } => {
                if let Some(instance) = instances.get_mut(&instance) {
                    instance.events.push(event);
                }
            }
            Line::Row(endpoint) => {
                let list_owner = instances.get_mut(&parser.list_owner());
                if let Some(Event::EndpointsUpdated { endpoints, .. }) =
                    list_owner.and_then(|instance| instance.events.last_mut())
                {
                    endpoints.push(endpoint);
                }
            }
            Line::Flush => {
                let Some((now, number)) = batch.take() else {
                    continue;
                };
                let mut reply = String::new();
                for (id, instance) in &mut instances {
                    if instance.events.is_empty() {
                        continue;
                    }
                    instance.control.step(now, &instance.events, &mut actions);
                    instance.events.clear();
                    for action in actions.drain(..) {
                        wire::write_action(&mut reply, *id, &action);
                    }
                }
                reply.push_str(&format!("ready\t{number}\n"));
                let sent = output
                    .write_all(reply.as_bytes())
                    .and_then(|()| output.flush());
                sent.map_err(|e| format!("standard output: {e}"))?;
            }
        }
    }
}
