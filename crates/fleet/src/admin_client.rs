//! Client for operators: sends requests to members of a fleet and awaits their answers.

use crate::codec::{answer_from_proto, request_to_proto};
use crate::driver::MAX_MESSAGE_BYTES;
use cindercleat::coordination::member::{Answer, MemberRequest, OperatorRequest, Reply};
use cindercleat::interface::Ms;
use cindercleat_grpc::{connect, Event, Session, Setup};
use cindercleat_net::{Clock, Transport};
use cindercleat_protocol::{frame, v1, Body, Frame};

/// The maximum number of redirects from one member to another that a request follows.
const MAX_REDIRECTS: usize = 3;

/// Sends a request to the member at `address` and returns its answer.
///
/// # Errors
/// A message with the address and the reason if the member cannot be reached, closes the connection, sends an invalid
/// answer, or does not answer within `timeout` milliseconds.
pub async fn send_request<T: Transport, C: Clock>(
    transport: &T,
    clock: &C,
    address: &str,
    question: &MemberRequest,
    timeout: Ms,
) -> Result<Answer, String> {
    let times_out_at = clock.now() + timeout;
    let exchange = async {
        let stream = transport
            .connect(address)
            .await
            .map_err(|error| error.to_string())?;
        let setup = Setup {
            party: v1::Party::Client,
            name: "operator".to_owned(),
            expects: String::new(),
            run: 0,
            max_message_bytes: MAX_MESSAGE_BYTES,
            max_concurrent_calls: 1,
        };
        let Session {
            mut events, out, ..
        } = connect(stream, v1::Party::Fleet, setup).await?;
        out.send(frame(1, Body::FleetCall(request_to_proto(question))));
        while let Some(event) = events.recv().await {
            match event {
                Event::Frame(Frame {
                    body: Some(Body::FleetAnswer(message)),
                    ..
                }) => {
                    out.close();
                    return answer_from_proto(message)
                        .ok_or_else(|| "the answer is not a valid message".to_owned());
                }
                Event::Frame(Frame {
                    body: Some(Body::Goodbye(goodbye)),
                    ..
                }) => return Err(goodbye.reason),
                _ => {}
            }
        }
        Err("the connection was closed before an answer arrived".to_owned())
    };
    let answer = tokio::select! { biased;
        answer = exchange => answer,
        () = clock.sleep_until(times_out_at) => Err(format!("no answer within {timeout:.0} ms")),
    };
    answer.map_err(|reason| format!("{address}: {reason}"))
}

/// Sends an operator's request to the member at `address` and follows redirects to other members.
///
/// # Errors
/// The errors of [`send_request`], or a message if the request is redirected more than `MAX_REDIRECTS` times or the
/// answer is not an operator's reply.
pub async fn send_operator_request<T: Transport, C: Clock>(
    transport: &T,
    clock: &C,
    address: &str,
    request: &OperatorRequest,
    timeout: Ms,
) -> Result<Reply, String> {
    let mut address = address.to_owned();
    for _ in 0..=MAX_REDIRECTS {
        match send_request(
            transport,
            clock,
            &address,
            &MemberRequest::Operator(request.clone()),
            timeout,
        )
        .await?
        {
            Answer::Reply(Reply::Redirect(redirect)) => address = redirect.0.to_string(),
            Answer::Reply(reply) => return Ok(reply),
            _ => {
                return Err(format!(
                    "{address}: the member's answer is not a reply to an operator's request"
                ))
            }
        }
    }
    Err(format!(
        "more than {MAX_REDIRECTS} redirects between members: try again in a moment"
    ))
}

/// Sends an operator's request to the members at `addresses` in turn, until one of them answers.
///
/// # Errors
/// The error of the last member that was tried, see [`send_operator_request`]; a message if `addresses` is empty.
pub async fn send_operator_request_to_any<T: Transport, C: Clock>(
    transport: &T,
    clock: &C,
    addresses: &[String],
    request: &OperatorRequest,
    timeout: Ms,
) -> Result<Reply, String> {
    let mut last_error = "no address was given".to_owned();
    for address in addresses {
        match send_operator_request(transport, clock, address, request, timeout).await {
            Ok(reply) => return Ok(reply),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}
