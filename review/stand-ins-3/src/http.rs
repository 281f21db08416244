use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

/// Longest head that is read.
const HEAD_BYTES_MAX: usize = 64 << 10;

/// The head of a request or of an answer.
#[derive(Debug, Clone)]
pub struct Head {
    /// First line.
    pub first: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header, or an empty text.
    #[must_use]
    pub fn get(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns the number in the first line that an answer has as its status; 0 if there is none.
    #[must_use]
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the target in the first line of a request.
    #[must_use]
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a head; `None` if the peer has closed the connection before its first byte.
pub async fn read_head(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<Option<Head>> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).await? == 0 {
            return if bytes.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        bytes.push(byte[0]);
        if bytes.len() > HEAD_BYTES_MAX {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    let text = String::from_utf8_lossy(&bytes);
    let mut lines = text.trim_end().split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
        .collect();
    Ok(Some(Head { first, headers }))
}

/// Reads the body that follows a head with a stated length.
pub async fn read_body(stream: &mut (impl AsyncRead + Unpin), head: &Head) -> io::Result<Vec<u8>> {
    let length = head.get("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(body)
}
