//! A small HTTP/1.1 server and client on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pair = query.split('&').find_map(|p| p.split_once('=').filter(|(n, _)| *n == name))?;
        Some(percent_decode(pair.1))
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            if let Ok(byte) = u8::from_str_radix(&text[i + 1..i + 3], 16) {
                out.push(byte);
                i += 3;
                continue;
            }
        }
        out.push(bytes[i]);
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads a line without its end; `None` at the end of the connection.
fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.pop() != Some(b'\n') {
        return Err(bad("the line is cut"));
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or_else(|| bad("the head is cut"))?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("no header"))?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads the next chunk of a body; `None` after the last one.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader)?.ok_or_else(|| bad("the body is cut"))?;
    let size = line.split(';').next().unwrap_or("").trim();
    let size = usize::from_str_radix(size, 16).map_err(|_| bad("no chunk size"))?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?.ok_or_else(|| bad("the chunk is cut"))?;
    Ok((size != 0).then_some(chunk))
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut words = line.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().ok_or_else(|| bad("no target"))?.to_owned();
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else if let Some(length) = find(&headers, "content-length") {
        body = vec![0; length.parse().map_err(|_| bad("no length"))?];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request { method, target, headers, body }))
}

pub fn respond(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    stream.flush()
}

/// What a client has seen.
#[derive(Default)]
pub struct Seen {
    /// 0 if no head was read.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body ended as its framing says.
    pub complete: bool,
    pub error: String,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Sends one request on a connection of its own and reads the whole response.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(String, String)],
    body: &[u8],
    patience: Duration,
) -> Seen {
    let mut seen = Seen::default();
    if let Err(err) = exchange(address, method, target, headers, body, patience, &mut seen) {
        seen.error = err.to_string();
    }
    seen
}

fn exchange(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(String, String)],
    body: &[u8],
    patience: Duration,
    seen: &mut Seen,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?.ok_or_else(|| bad("closed without an answer"))?;
    let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
    seen.headers = read_headers(&mut reader)?;
    seen.status = status.ok_or_else(|| bad("no status"))?;
    if find(&seen.headers, "transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(&mut reader)? {
            seen.body.extend(chunk);
        }
    } else if let Some(length) = find(&seen.headers, "content-length") {
        let length = length.parse().map_err(|_| bad("no length"))?;
        let mut rest = vec![0; length];
        reader.read_exact(&mut rest)?;
        seen.body = rest;
    } else {
        reader.read_to_end(&mut seen.body)?;
    }
    seen.complete = true;
    Ok(())
}
