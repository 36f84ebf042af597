//! A running watch.

use std::time::Duration;

use futures_util::StreamExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;

use super::http_caller::decode;
use super::{ObjectChange, PlatformError, PlatformLimits};

type ByteStream = futures_util::stream::BoxStream<'static, std::io::Result<bytes::Bytes>>;

/// A running watch on the object API.
pub struct ObjectWatch {
    lines: FramedRead<StreamReader<ByteStream, bytes::Bytes>, LinesCodec>,
    idle_timeout: Duration,
}

impl ObjectWatch {
    pub(super) fn new(body: Incoming, limits: &PlatformLimits) -> Self {
        let bytes: ByteStream = body
            .into_data_stream()
            .map(|chunk| chunk.map_err(std::io::Error::other))
            .boxed();
        let codec = LinesCodec::new_with_max_length(limits.maximum_watch_line_bytes);
        Self {
            lines: FramedRead::new(StreamReader::new(bytes), codec),
            idle_timeout: limits.watch_idle_timeout,
        }
    }

    /// The next change. After an error the watch is over; open another from the last revision.
    pub async fn next(&mut self) -> Result<ObjectChange, PlatformError> {
        loop {
            let line = tokio::time::timeout(self.idle_timeout, self.lines.next())
                .await
                .map_err(|_| PlatformError::TimedOut {
                    limit: self.idle_timeout,
                })?;
            let line = match line {
                Some(Ok(line)) => line,
                Some(Err(error)) => {
                    return Err(PlatformError::Malformed {
                        detail: error.to_string(),
                    });
                }
                None => return Err(PlatformError::WatchEnded),
            };
            if !line.trim().is_empty() {
                return decode(line.as_bytes());
            }
        }
    }
}
