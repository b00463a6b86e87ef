//! A caller that resumes its streams, and notes from which software their events came.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_gateway::native::headers::CODE;
use bendhinge_http::Pool;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::StatusCode;
use smol::Timer;

use super::caller::{Call, EVENTS, Resumption};

/// How a request of a stream ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The caller left after the events that it wanted.
    Left,
    /// The response broke off, or there was none.
    Broken,
    /// The gateway refused the request, with this status and result code.
    Refused(u16, String),
    /// The caller saw something that it may never see.
    Wrong(String),
}

/// A stream and its caller.
#[derive(Clone, Debug)]
pub struct StreamCaller {
    /// Its first request, which the others repeat under IDs of their own.
    pub call: Call,
    /// The request that brought the first event.
    pub began_with: Option<String>,
    /// The software of each event, in order.
    pub software: Vec<String>,
}

impl StreamCaller {
    /// A caller of a stream at a path. Its prompt shares nothing with others, so that no upstream is preferred for it.
    #[must_use]
    pub fn new(path: &'static str, key: &str) -> Self {
        let prompt = Some(format!("{}:100", rand::random::<u32>()));
        Self { call: Call { prompt, ..Call::new(path, key) }, began_with: None, software: Vec::new() }
    }

    /// Whether the stream has events of several versions.
    #[must_use]
    pub fn is_mixed(&self) -> bool {
        self.software.windows(2).any(|pair| pair[0] != pair[1])
    }

    /// Whether the stream has all its events.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.software.len() == EVENTS as usize
    }

    /// The request that begins the stream, or resumes it after its last event.
    #[must_use]
    pub fn next_call(&self) -> Call {
        let mut call = self.call.clone();
        call.id = format!("{:016x}", rand::random::<u64>());
        call.resumption = self.software.len().checked_sub(1).map(|last| Resumption {
            request: self.began_with.clone(),
            last_event: u32::try_from(last).expect("streams are short"),
        });
        call
    }

    /// Begins or resumes the stream at a gateway, until its end or until `max_events` events were received in all.
    pub async fn receive(&mut self, pool: &Arc<Pool>, gateway: SocketAddr, max_events: usize) -> StreamEnd {
        const PATIENCE: Duration = Duration::from_secs(20);
        let call = self.next_call();
        let receiving = self.receive_response(pool, gateway, &call, max_events);
        let giving_up = async {
            Timer::after(PATIENCE).await;
            StreamEnd::Wrong("no end of the stream".to_owned())
        };
        receiving.or(giving_up).await
    }

    async fn receive_response(
        &mut self,
        pool: &Arc<Pool>,
        gateway: SocketAddr,
        call: &Call,
        max_events: usize,
    ) -> StreamEnd {
        let Ok(mut connection) = pool.connect(gateway).await else { return StreamEnd::Broken };
        let Ok(response) = connection.send(call.request()).await else { return StreamEnd::Broken };
        let (head, mut body) = response.into_parts();
        if head.status != StatusCode::OK {
            let code = head.headers.get(CODE).and_then(|code| code.to_str().ok()).unwrap_or_default();
            return StreamEnd::Refused(head.status.as_u16(), code.to_owned());
        }
        let mut unread = String::new();
        loop {
            match body.frame().await {
                None if self.is_whole() => return StreamEnd::Complete,
                None => {
                    return StreamEnd::Wrong(format!("complete after {} events", self.software.len()));
                }
                Some(Err(_)) => return StreamEnd::Broken,
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    unread.push_str(&String::from_utf8_lossy(&data));
                }
            }
            while let Some((event, rest)) = unread.split_once("\n\n") {
                if let Err(wrong) = self.add_event(event, &call.id) {
                    return StreamEnd::Wrong(wrong);
                }
                unread = rest.to_owned();
            }
            if self.software.len() >= max_events && !self.is_whole() {
                return StreamEnd::Left;
            }
        }
    }

    /// Adds an event of the form `id: ID`, `data: REQUEST ID SOFTWARE`.
    fn add_event(&mut self, event: &str, request: &str) -> Result<(), String> {
        let expected_id = self.software.len();
        let mut words = event.split_whitespace();
        let id = words.nth(1).and_then(|id| id.parse::<usize>().ok());
        let software = words.nth(3);
        let (Some(id), Some(software)) = (id, software) else {
            return Err(format!("not an event: {event:?}"));
        };
        if id != expected_id {
            return Err(format!("event {id} in place of {expected_id}"));
        }
        self.began_with.get_or_insert_with(|| request.to_owned());
        self.software.push(software.to_owned());
        Ok(())
    }
}
