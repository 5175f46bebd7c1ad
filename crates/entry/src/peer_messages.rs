//! The messages between entries on the wire.
//!
//! Lists of numbers are packed, since a digest has one load for each leader. A message
//! that another build of the program wrote in an older format has none of these fields
//! and isn't understood.

use std::time::Duration;

use bulrushhoist_core::Fingerprint;
use bulrushhoist_fleet::{
    Aged, Answer, CrashReport, Departure, Digest, DigestRate, EndpointLoad, EntryStatus,
    NamedLimit, News, Report, Scope, Sender, SlowLeader, Subject, Suspicion,
};

use crate::call::MAX_SHARED_PARTS;
use crate::notices::{MAX_LIMIT_PER_S, MIN_LIMIT_PER_S};

/// A [`Suspicion`] or [`Departure`] on the wire.
#[derive(Clone, PartialEq, prost::Message)]
struct IncarnationMessage {
    #[prost(string, tag = "1")]
    endpoint: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
}

/// The [`News`] in a message.
#[derive(Clone, PartialEq, prost::Message)]
struct NewsMessage {
    /// Keys of the endpoints with requests; the next two lists are in the same order.
    #[prost(fixed32, repeated, tag = "1")]
    load_keys: Vec<u32>,
    #[prost(uint32, repeated, tag = "2")]
    load_requests: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    load_tokens: Vec<u32>,
    #[prost(message, repeated, tag = "4")]
    suspects: Vec<IncarnationMessage>,
    #[prost(fixed32, repeated, tag = "5")]
    slow_keys: Vec<u32>,
    /// The slowdowns in percent, in the order of the keys.
    #[prost(uint32, repeated, tag = "6")]
    slow_percent: Vec<u32>,
    // Tags 7 and 8 had the strikes of requests.
    #[prost(message, repeated, tag = "9")]
    crashes: Vec<CrashMessage>,
    #[prost(message, repeated, tag = "10")]
    answers: Vec<AnswerMessage>,
    #[prost(message, repeated, tag = "11")]
    departures: Vec<IncarnationMessage>,
    #[prost(message, repeated, tag = "12")]
    limits: Vec<LimitMessage>,
}

/// A [`NamedLimit`] on the wire.
#[derive(Clone, PartialEq, prost::Message)]
struct LimitMessage {
    #[prost(string, tag = "1")]
    endpoint: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    /// Absent if the endpoint names no limit any more.
    #[prost(double, optional, tag = "3")]
    per_s: Option<f64>,
    #[prost(uint32, tag = "4")]
    age_ms: u32,
}

/// A [`CrashReport`] on the wire.
#[derive(Clone, PartialEq, prost::Message)]
struct CrashMessage {
    #[prost(fixed64, tag = "1")]
    run: u64,
    #[prost(fixed64, tag = "2")]
    request: u64,
    #[prost(fixed64, repeated, tag = "3")]
    parts: Vec<u64>,
    #[prost(uint32, tag = "4")]
    age_ms: u32,
    #[prost(bool, tag = "5")]
    inferred: bool,
}

/// An [`Answer`] on the wire.
#[derive(Clone, Copy, PartialEq, prost::Message)]
struct AnswerMessage {
    #[prost(fixed64, tag = "1")]
    key: u64,
    #[prost(bool, tag = "2")]
    is_part: bool,
    #[prost(uint32, tag = "3")]
    age_ms: u32,
}

/// A [`Sender`] on the wire.
#[derive(Clone, Copy, PartialEq, prost::Message)]
struct SenderMessage {
    #[prost(fixed32, tag = "1")]
    key: u32,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    sequence: u64,
}

/// A [`Report`] on the wire.
#[derive(Clone, PartialEq, prost::Message)]
struct ReportMessage {
    #[prost(message, required, tag = "1")]
    sender: SenderMessage,
    #[prost(uint32, tag = "2")]
    status: u32,
    /// 0: no digests, 1: at the reduced rate, 2: at the full rate.
    #[prost(uint32, tag = "3")]
    digests: u32,
    #[prost(fixed32, tag = "4")]
    known_entries: u32,
    #[prost(message, required, tag = "5")]
    news: NewsMessage,
}

/// A [`Digest`] on the wire.
#[derive(Clone, PartialEq, prost::Message)]
struct DigestMessage {
    #[prost(message, required, tag = "1")]
    sender: SenderMessage,
    /// Whether it covers the deployment instead of the sender's data centre.
    #[prost(bool, tag = "2")]
    deployment: bool,
    #[prost(bool, tag = "3")]
    has_entries: bool,
    #[prost(fixed32, repeated, tag = "4")]
    entry_keys: Vec<u32>,
    /// One byte for each key.
    #[prost(bytes = "vec", tag = "5")]
    entry_status: Vec<u8>,
    #[prost(message, required, tag = "6")]
    news: NewsMessage,
}

/// The content of a datagram.
#[derive(Clone, PartialEq, prost::Oneof)]
enum Content {
    #[prost(message, tag = "20")]
    Report(ReportMessage),
    #[prost(message, tag = "21")]
    Digest(DigestMessage),
}

/// A datagram.
#[derive(Clone, PartialEq, prost::Message)]
struct Datagram {
    #[prost(oneof = "Content", tags = "20, 21")]
    content: Option<Content>,
}

/// A decoded message.
pub(crate) enum PeerMessage {
    Report(Report),
    Digest(Digest),
}

/// Encodes a report.
pub(crate) fn encode_report(report: &Report) -> Vec<u8> {
    let digests = match report.digests {
        DigestRate::None => 0,
        DigestRate::Reduced => 1,
        DigestRate::Full => 2,
    };
    encode(Content::Report(ReportMessage {
        sender: report.sender.into(),
        status: u32::from(report.status.bits()),
        digests,
        known_entries: report.known_entries,
        news: NewsMessage::from(&report.news),
    }))
}

/// Encodes a digest or summary.
pub(crate) fn encode_digest(digest: &Digest) -> Vec<u8> {
    let entries = digest.entries.as_deref().unwrap_or_default();
    encode(Content::Digest(DigestMessage {
        sender: digest.sender.into(),
        deployment: digest.scope == Scope::Deployment,
        has_entries: digest.entries.is_some(),
        entry_keys: entries.iter().map(|e| e.key).collect(),
        entry_status: entries.iter().map(EntryStatus::bits).collect(),
        news: NewsMessage::from(&digest.news),
    }))
}

fn encode(content: Content) -> Vec<u8> {
    let datagram = Datagram {
        content: Some(content),
    };
    prost::Message::encode_to_vec(&datagram)
}

/// Decodes a datagram. Returns `None` if it isn't a complete message.
pub(crate) fn decode(bytes: &[u8]) -> Option<PeerMessage> {
    let datagram: Datagram = prost::Message::decode(bytes).ok()?;
    match datagram.content? {
        Content::Report(message) => message.into_report().map(PeerMessage::Report),
        Content::Digest(message) => message.into_digest().map(PeerMessage::Digest),
    }
}

impl ReportMessage {
    fn into_report(self) -> Option<Report> {
        let sender = Sender::from(self.sender);
        Some(Report {
            sender,
            status: EntryStatus::from_bits(sender.key, u8::try_from(self.status).ok()?),
            digests: match self.digests {
                0 => DigestRate::None,
                1 => DigestRate::Reduced,
                _ => DigestRate::Full,
            },
            known_entries: self.known_entries,
            news: self.news.into_news()?,
        })
    }
}

impl DigestMessage {
    fn into_digest(self) -> Option<Digest> {
        if self.entry_keys.len() != self.entry_status.len() {
            return None;
        }
        let entries = self.entry_keys.iter().zip(&self.entry_status);
        let entries = entries.map(|(key, bits)| EntryStatus::from_bits(*key, *bits));
        Some(Digest {
            sender: self.sender.into(),
            scope: match self.deployment {
                true => Scope::Deployment,
                false => Scope::DataCentre,
            },
            entries: self.has_entries.then(|| entries.collect()),
            news: self.news.into_news()?,
        })
    }
}

impl From<Sender> for SenderMessage {
    fn from(sender: Sender) -> Self {
        Self {
            key: sender.key,
            incarnation: sender.incarnation,
            sequence: sender.sequence,
        }
    }
}

impl From<SenderMessage> for Sender {
    fn from(message: SenderMessage) -> Self {
        Self {
            key: message.key,
            incarnation: message.incarnation,
            sequence: message.sequence,
        }
    }
}

impl From<&News> for NewsMessage {
    fn from(news: &News) -> Self {
        let suspects = news.suspects.iter().map(|s| IncarnationMessage {
            endpoint: s.endpoint.to_string(),
            incarnation: s.incarnation,
        });
        let departures = news.departures.iter().map(|d| IncarnationMessage {
            endpoint: d.endpoint.to_string(),
            incarnation: d.incarnation,
        });
        let percent = |s: &SlowLeader| (s.slowdown * 100.0) as u32;
        Self {
            load_keys: news.loads.iter().map(|l| l.key).collect(),
            load_requests: news.loads.iter().map(|l| l.requests).collect(),
            load_tokens: news.loads.iter().map(|l| l.prefill_tokens).collect(),
            suspects: suspects.collect(),
            slow_keys: news.slow.iter().map(|s| s.key).collect(),
            slow_percent: news.slow.iter().map(percent).collect(),
            crashes: news.crashes.iter().map(CrashMessage::from).collect(),
            answers: news.answers.iter().map(AnswerMessage::from).collect(),
            departures: departures.collect(),
            limits: news.limits.iter().map(LimitMessage::from).collect(),
        }
    }
}

impl NewsMessage {
    fn into_news(self) -> Option<News> {
        let loads = self.load_keys.len();
        let consistent = self.load_requests.len() == loads
            && self.load_tokens.len() == loads
            && self.slow_keys.len() == self.slow_percent.len();
        if !consistent {
            return None;
        }
        let loads = self.load_keys.iter().enumerate();
        let loads = loads.map(|(i, key)| EndpointLoad {
            key: *key,
            requests: self.load_requests[i],
            prefill_tokens: self.load_tokens[i],
        });
        let slow = self.slow_keys.iter().zip(&self.slow_percent);
        let mut news = News {
            loads: loads.collect(),
            suspects: self.suspects.into_iter().map(Suspicion::from).collect(),
            slow: slow
                .map(|(key, percent)| SlowLeader {
                    key: *key,
                    slowdown: f64::from(*percent) / 100.0,
                })
                .collect(),
            crashes: self.crashes.into_iter().map(Aged::from).collect(),
            answers: self.answers.into_iter().map(Aged::from).collect(),
            departures: self.departures.into_iter().map(Departure::from).collect(),
            limits: self.limits.into_iter().filter_map(read_limit).collect(),
        };
        news.limit();
        Some(news)
    }
}

fn age_ms(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

impl From<&Aged<CrashReport>> for CrashMessage {
    fn from(crash: &Aged<CrashReport>) -> Self {
        Self {
            run: crash.item.run,
            request: crash.item.request.get(),
            parts: crash.item.parts.iter().map(|p| p.get()).collect(),
            age_ms: age_ms(crash.age),
            inferred: crash.item.inferred,
        }
    }
}

impl From<CrashMessage> for Aged<CrashReport> {
    fn from(message: CrashMessage) -> Self {
        let parts = message.parts.into_iter().take(MAX_SHARED_PARTS);
        let item = CrashReport {
            run: message.run,
            request: message.request.into(),
            parts: parts.map(Fingerprint::from).collect(),
            inferred: message.inferred,
        };
        let age = Duration::from_millis(message.age_ms.into());
        Self { item, age }
    }
}

impl From<&Aged<Answer>> for AnswerMessage {
    fn from(answer: &Aged<Answer>) -> Self {
        Self {
            key: answer.item.key.get(),
            is_part: answer.item.subject == Subject::Part,
            age_ms: age_ms(answer.age),
        }
    }
}

impl From<AnswerMessage> for Aged<Answer> {
    fn from(message: AnswerMessage) -> Self {
        let subject = match message.is_part {
            true => Subject::Part,
            false => Subject::Request,
        };
        let key = message.key.into();
        let age = Duration::from_millis(message.age_ms.into());
        let item = Answer { subject, key };
        Self { item, age }
    }
}

impl From<&Aged<NamedLimit>> for LimitMessage {
    fn from(limit: &Aged<NamedLimit>) -> Self {
        Self {
            endpoint: limit.item.endpoint.to_string(),
            incarnation: limit.item.incarnation,
            per_s: limit.item.per_s,
            age_ms: age_ms(limit.age),
        }
    }
}

/// Returns a limit, unless its rate can't be one.
fn read_limit(message: LimitMessage) -> Option<Aged<NamedLimit>> {
    let range = MIN_LIMIT_PER_S..=MAX_LIMIT_PER_S;
    if message.per_s.is_some_and(|per_s| !range.contains(&per_s)) {
        return None;
    }
    let age = Duration::from_millis(message.age_ms.into());
    let item = NamedLimit {
        endpoint: message.endpoint.into(),
        incarnation: message.incarnation,
        per_s: message.per_s,
    };
    Some(Aged { item, age })
}

impl From<IncarnationMessage> for Departure {
    fn from(message: IncarnationMessage) -> Self {
        Self {
            endpoint: message.endpoint.into(),
            incarnation: message.incarnation,
        }
    }
}

impl From<IncarnationMessage> for Suspicion {
    fn from(message: IncarnationMessage) -> Self {
        Self {
            endpoint: message.endpoint.into(),
            incarnation: message.incarnation,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/peer_messages.rs"]
mod tests;
