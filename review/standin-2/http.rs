//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The first line and the fields of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let known = self.fields.iter();
        let mut known = known.filter(|(field, _)| field.eq_ignore_ascii_case(name));
        known.next().map(|(_, value)| value.as_str())
    }

    /// Method or version.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        let text = String::from_utf8_lossy(&line).trim_end().to_owned();
        match (head.first.is_empty(), text.is_empty()) {
            (true, true) => {}
            (true, false) => head.first = text,
            (false, true) => return Ok(Some(head)),
            (false, false) => {
                let (name, value) = text.split_once(':').unwrap_or((&text, ""));
                head.fields.push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }
}

/// Reads a body with a length or in chunks.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if let Some(length) = head.get("content-length") {
        body.resize(length.parse().unwrap_or_default(), 0);
        reader.read_exact(&mut body)?;
    } else if head.get("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    }
    Ok(body)
}

/// Reads a chunk; `None` is the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok((length > 0).then_some(chunk))
}

pub fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend(bytes);
    chunk.extend(b"\r\n");
    stream.write_all(&chunk)
}

pub fn write_json(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let length = body.len();
    let answer = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(answer.as_bytes())
}

/// An answer that a client has received.
#[derive(Debug, Clone)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    /// When the client loses its connection, if it does.
    leaves_at: Option<Instant>,
}

impl Client {
    pub fn connect(address: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self {
            stream,
            reader,
            leaves_at: None,
        })
    }

    /// Like [`Self::call`], but the client has lost its connection after this time.
    pub fn call_until(&mut self, request: &str, limit: Duration) -> io::Result<Answer> {
        self.leaves_at = Some(Instant::now() + limit);
        self.call(request)
    }

    /// Sends a request and reads the answer to its end.
    pub fn call(&mut self, request: &str) -> io::Result<Answer> {
        self.stream.write_all(request.as_bytes())?;
        let head = read_head(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut body = Vec::new();
        let mut is_whole = true;
        if head.get("transfer-encoding").is_some() {
            loop {
                if self.leaves_at.is_some_and(|at| Instant::now() >= at) {
                    is_whole = false;
                    break;
                }
                match read_chunk(&mut self.reader) {
                    Ok(Some(chunk)) => body.extend(chunk),
                    Ok(None) => break,
                    Err(_) => {
                        is_whole = false;
                        break;
                    }
                }
            }
        } else {
            let length = head.get("content-length").unwrap_or("0");
            let length: u64 = length.parse().unwrap_or_default();
            let mut rest = (&mut self.reader).take(length);
            is_whole = rest.read_to_end(&mut body).is_ok() && body.len() as u64 == length;
        }
        Ok(Answer {
            head,
            body,
            is_whole,
        })
    }
}
