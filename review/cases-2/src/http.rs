//! Reading and writing of HTTP/1.1 messages.

use std::io;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::TcpStream;

/// A message: its start line, headers with names in lower case, and body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, or an empty text if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns a word of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }
}

pub type Reader = BufReader<TcpStream>;

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

async fn read_line(reader: &mut Reader) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line).await? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// Reads the head of a message.
pub async fn read_head(reader: &mut Reader) -> io::Result<Message> {
    let start = read_line(reader).await?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader).await?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("header"))?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok(Message {
        start,
        headers,
        body: Vec::new(),
    })
}

/// Reads the body that the head announces; an answer without a length ends with the connection.
pub async fn read_body(
    reader: &mut Reader,
    message: &mut Message,
    is_answer: bool,
) -> io::Result<()> {
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let size = read_line(reader).await?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16)
                .map_err(|_error| invalid("chunk size"))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk).await?;
            message.body.extend(chunk);
            read_line(reader).await?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    if let Ok(length) = message.header("content-length").parse() {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).await?;
    } else if is_answer {
        reader.read_to_end(&mut message.body).await?;
    }
    Ok(())
}

/// Reads a whole message.
pub async fn read_message(reader: &mut Reader, is_answer: bool) -> io::Result<Message> {
    let mut message = read_head(reader).await?;
    read_body(reader, &mut message, is_answer).await?;
    Ok(message)
}
