//! The operators' end: one question to a member, and its answer.

use crate::codec::{answer_in, question_out};
use crate::driver::MOST_MESSAGE;
use cindercleat::coordination::member::{Answer, OperatorRequest, Question, Reply};
use cindercleat::interface::Ms;
use cindercleat_grpc::{connect, Event, Session, Setup};
use cindercleat_net::{Clock, Transport};
use cindercleat_protocol::{frame, v1, Body, Frame};

/// Times that an order is passed on from one member to another.
const PASSED_ON: usize = 3;

/// Asks one member; what it answers.
///
/// # Errors
/// It is not reached, or does not answer within the time, in words.
pub async fn ask<T: Transport, C: Clock>(
    transport: &T,
    clock: &C,
    address: &str,
    question: &Question,
    within: Ms,
) -> Result<Answer, String> {
    let until = clock.now() + within;
    let asked = async {
        let stream = transport
            .connect(address)
            .await
            .map_err(|e| e.to_string())?;
        let setup = Setup {
            party: v1::Party::Client,
            name: "operator".to_owned(),
            expects: String::new(),
            run: 0,
            most_message: MOST_MESSAGE,
            most_calls: 1,
        };
        let Session {
            mut events, out, ..
        } = connect(stream, v1::Party::Fleet, setup).await?;
        out.send(frame(1, Body::FleetCall(question_out(question))));
        while let Some(event) = events.recv().await {
            match event {
                Event::Frame(Frame {
                    body: Some(Body::FleetAnswer(said)),
                    ..
                }) => {
                    out.close();
                    return answer_in(said)
                        .ok_or_else(|| "an answer that cannot be read".to_owned());
                }
                Event::Frame(Frame {
                    body: Some(Body::Goodbye(bye)),
                    ..
                }) => return Err(bye.reason),
                _ => {}
            }
        }
        Err("the connection ended".to_owned())
    };
    let answer = tokio::select! { biased;
        answer = asked => answer,
        () = clock.sleep_until(until) => Err(format!("no answer within {within:.0} ms")),
    };
    answer.map_err(|why| format!("{address}: {why}"))
}

/// Gives an order to a member, and to whoever it names in its place.
///
/// # Errors
/// As [`ask`], or it is passed on for ever.
pub async fn order<T: Transport, C: Clock>(
    transport: &T,
    clock: &C,
    address: &str,
    order: &OperatorRequest,
    within: Ms,
) -> Result<Reply, String> {
    let mut address = address.to_owned();
    for _ in 0..=PASSED_ON {
        match ask(
            transport,
            clock,
            &address,
            &Question::Operator(order.clone()),
            within,
        )
        .await?
        {
            Answer::Reply(Reply::Elsewhere(other)) => address = other.0.to_string(),
            Answer::Reply(reply) => return Ok(reply),
            _ => return Err(format!("{address}: another answer than was asked for")),
        }
    }
    Err("the dispatchers send one from one to another: try again in a moment".to_owned())
}

/// Gives an order to the first of several members that answers.
///
/// # Errors
/// As [`order`], of the last one that was asked.
pub async fn order_any<T: Transport, C: Clock>(
    transport: &T,
    clock: &C,
    addresses: &[String],
    what: &OperatorRequest,
    within: Ms,
) -> Result<Reply, String> {
    let mut problem = "no address was given".to_owned();
    for address in addresses {
        match order(transport, clock, address, what, within).await {
            Ok(reply) => return Ok(reply),
            Err(why) => problem = why,
        }
    }
    Err(problem)
}
