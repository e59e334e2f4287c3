//! Runs a dispatcher on a thread of its own, and tells what it cost.

use crate::settings::Serve;
use cindercleat::coordination::disruption_budget::Unit;
use cindercleat::coordination::member::{LocalHealth, MAX_REPORTS_PER_HEARTBEAT};
use cindercleat_dispatcher::driver::{Driver, Locations, Readiness};
use cindercleat_dispatcher::ProgramSettings;
use cindercleat_faults::fleet::End;
use cindercleat_fleet::acceptor_storage::DiskFile;
use cindercleat_net::{Listener, Tcp, TcpFrom, TokioClock, Transport};
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::thread::JoinHandle;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::LocalSet;

/// Serves on TCP until a signal to end, on this thread; takes part in a fleet if the settings say so.
///
/// # Errors
/// The address cannot be had, or the runtime.
pub fn serve(settings: Serve, seed: u64) -> io::Result<()> {
    block_on(async {
        let stop = ends()?;
        let listener = Tcp.listen(&settings.listen).await?;
        tracing::info!(
            name = settings.program.name,
            address = listener.address(),
            "serving"
        );
        let clock = TokioClock::system();
        let driver = Driver::new(settings.program, settings.locations, Tcp, clock, seed);
        // Duties are handed over at once, and what is open runs on meanwhile.
        let (told, mut hears) = tokio::sync::watch::channel(false);
        let mut beside = None;
        let permit = Rc::new(Notify::new());
        if let Some(fleet) = settings.fleet {
            let transport = TcpFrom {
                local_address: fleet.from,
            };
            let listener = transport.listen(&fleet.listen).await?;
            tracing::info!(address = listener.address(), "in the fleet");
            driver.record_service_stats();
            let dispatcher = Rc::new(Beside {
                driver: driver.clone(),
                permit: permit.clone(),
            });
            let disk = fleet.file.map(DiskFile::new);
            let member =
                cindercleat_fleet::Driver::new(fleet.member, transport, clock, disk, dispatcher);
            beside = Some(tokio::task::spawn_local(async move {
                // A channel that is gone is a stop, too.
                let stop = async { while !*hears.borrow() && hears.changed().await.is_ok() {} };
                tokio::pin!(stop);
                member.run(listener, stop).await;
            }));
        }
        let stop = async {
            // Its turn is a stop like any other: what is open runs to its end.
            tokio::select! { biased;
                () = stop => {}
                () = permit.notified() => {}
            }
            told.send_replace(true);
        };
        driver.serve(listener, stop).await?;
        if let Some(beside) = beside {
            let _ = beside.await;
        }
        tracing::info!("stopped");
        Ok(())
    })
}

/// What a member of a fleet asks of the dispatcher that it runs beside.
struct Beside {
    driver: Driver<Tcp, TokioClock>,
    permit: Rc<Notify>,
}

impl cindercleat_fleet::Dispatcher for Beside {
    fn local_health(&self) -> LocalHealth {
        let Readiness {
            is_ready,
            load: utilization,
        } = self.driver.readiness();
        let (outcomes, reports) = self.driver.take_service_stats(MAX_REPORTS_PER_HEARTBEAT);
        LocalHealth {
            ready: is_ready,
            utilization,
            outcomes,
            reports,
        }
    }

    fn engines(&self) -> Vec<Unit> {
        self.driver.engines()
    }

    fn grant_restart(&self, permit: u64, label: &str) {
        // For the supervisor that starts it again: what it is to come back under.
        println!("turn {permit} label {label}");
        self.permit.notify_one();
    }
}

/// Runs a future on a runtime of this thread alone.
///
/// # Errors
/// The runtime's or the future's.
pub fn block_on<R>(job: impl Future<Output = io::Result<R>>) -> io::Result<R> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, job)
}

/// A signal to end: SIGTERM or SIGINT.
///
/// # Errors
/// The signals cannot be had.
pub fn ends() -> io::Result<impl Future<Output = ()>> {
    use tokio::signal::unix::{signal, SignalKind};
    let (mut term, mut int) = (
        signal(SignalKind::terminate())?,
        signal(SignalKind::interrupt())?,
    );
    Ok(async move {
        tokio::select! { biased;
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    })
}

/// A dispatcher that runs on a thread of its own.
pub struct Thread {
    pub address: String,
    end: mpsc::UnboundedSender<End>,
    done: oneshot::Receiver<f64>,
    thread: JoinHandle<()>,
}

impl Thread {
    /// Waits until it listens.
    ///
    /// # Errors
    /// It cannot listen.
    pub async fn start(
        settings: ProgramSettings,
        locations: Locations,
        listen: &str,
        clock: TokioClock,
        seed: u64,
    ) -> io::Result<Thread> {
        let (end, mut ends) = mpsc::unbounded_channel();
        let (up, is_up) = oneshot::channel();
        let (over, done) = oneshot::channel();
        let listen = listen.to_owned();
        let thread = std::thread::Builder::new()
            .name(settings.name.clone())
            .spawn(move || {
                let ran = block_on(async move {
                    let listener = match Tcp.listen(&listen).await {
                        Ok(listener) => listener,
                        Err(problem) => {
                            let _ = up.send(Err(problem));
                            return Ok(());
                        }
                    };
                    let _ = up.send(Ok(listener.address()));
                    let driver = Driver::new(settings, locations, Tcp, clock, seed);
                    let (stop, stopped) = oneshot::channel::<()>();
                    let serving = driver.serve(listener, async {
                        let _ = stopped.await;
                    });
                    tokio::pin!(serving);
                    tokio::select! { biased;
                        end = ends.recv() => if end == Some(End::Kill) { return Ok(()) },
                        served = &mut serving => return served,
                    }
                    let _ = stop.send(());
                    serving.await
                });
                if let Err(problem) = ran {
                    tracing::error!(%problem, "dispatcher failed");
                }
                let _ = over.send(thread_cpu());
            })?;
        let address = is_up
            .await
            .map_err(|_| io::Error::other("the dispatcher's thread ended"))??;
        Ok(Thread {
            address,
            end,
            done,
            thread,
        })
    }

    /// Ends it and waits; gives the milliseconds of processor time that it took.
    pub async fn end(self, how: End) -> f64 {
        let _ = self.end.send(how);
        let cpu = self.done.await.unwrap_or(0.0);
        let _ = self.thread.join();
        cpu
    }
}

/// The processor time of this thread so far, in milliseconds, as Linux tells it; 0 elsewhere.
fn thread_cpu() -> f64 {
    let stat = std::fs::read_to_string("/proc/thread-self/stat").unwrap_or_default();
    cpu_of(&stat)
}

/// The processor time in a `stat` file, in milliseconds; its ticks are hundredths of a second.
pub fn cpu_of(stat: &str) -> f64 {
    let after = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    10.0 * (ticks(11) + ticks(12))
}
