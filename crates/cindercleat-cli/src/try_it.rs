//! A small fleet on loopback, for a first look: `try` and `standin`.

use crate::day::{start_fleet, Dispatchers};
use crate::serve::{block_on, ends};
use cindercleat_faults::plan::Day;
use cindercleat_net::{Clock, Tcp};
use cindercleat_protocol::v1;
use cindercleat_standin::client::{End, Port};
use std::io::{self, Write};
use std::rc::Rc;

/// The small service.
///
/// # Errors
/// The script that the program carries is bad.
pub fn small() -> io::Result<Day> {
    crate::script::read("base.conf", include_str!("base.conf")).map_err(io::Error::other)
}

/// Streams one request to the terminal as it is written; then stays up, if wanted.
///
/// # Errors
/// Ports cannot be had, or the request came to nothing.
pub fn try_it(stay: bool) -> io::Result<()> {
    let day = small()?;
    let keep = std::env::temp_dir().join(format!("cindercleat-try-{}", std::process::id()));
    std::fs::create_dir_all(&keep)?;
    let tried = block_on(async {
        let fleet = Rc::new(start_fleet(&day).await?);
        let dispatchers = Dispatchers::start(&day, fleet.clone(), keep.clone()).await?;
        let address = dispatchers.addresses()[0].clone();
        println!(
            "{} hosts and a dispatcher on {address} (stand-ins: the answer is made up)",
            fleet.engines.len()
        );
        let port = Port::new("try", &address, Tcp, fleet.clock, fleet.transcript.clone());
        let submit = v1::Submit {
            request_class: "caption-draft".to_owned(),
            session: 1,
            shared_text: 1,
            prompt_tokens: 800,
            shared_tokens: 400,
            max_tokens: 60,
            time_to_deadline_ms: 4000.0,
            key: "try".to_owned(),
            ..v1::Submit::default()
        };
        let (begin, mut tokens, mut first) = (fleet.clock.now(), 0, None);
        let see = |message: &v1::Tokens| {
            first.get_or_insert_with(|| fleet.clock.now() - begin);
            tokens += message.count;
            print!("{}", String::from_utf8_lossy(&message.text));
            let _ = io::stdout().flush();
        };
        let end = port.run(submit, None, see).await;
        println!();
        let first = first.unwrap_or(f64::NAN);
        println!("{end:?}: {tokens} tokens, the first after {first:.0} ms");
        if end != End::Succeeded {
            return Err(io::Error::other("the task was not fulfilled"));
        }
        if stay {
            println!("staying up; end with Ctrl-C");
            ends()?.await;
        }
        dispatchers.stop().await;
        Ok(())
    });
    let _ = std::fs::remove_dir_all(keep);
    tried
}

/// Runs a script's engines and their list until a signal to end, and says where they are.
///
/// # Errors
/// Ports cannot be had.
pub fn stand_in(day: &Day) -> io::Result<()> {
    block_on(async {
        let fleet = start_fleet(day).await?;
        println!("list-feed {}", fleet.feed_address);
        for (name, engine) in &fleet.engines {
            println!("# {name} {}", engine.address());
        }
        ends()?.await;
        Ok(())
    })
}
