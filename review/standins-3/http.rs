//! A small HTTP/1.1 server and client on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Clone, Debug, Default)]
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
        let found = query.split('&').filter_map(|p| p.split_once('=')).find(|(k, _)| *k == name)?;
        Some(percent_decode(found.1))
    }
}

#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, headers: Vec::new(), body: body.into() }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(k, _)| k.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

type Lines = (String, Vec<(String, String)>);

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Lines>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first, headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().and_then(|s| usize::from_str_radix(s, 16).ok());
    let size = size.ok_or(io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    until_end: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if find(headers, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    match find(headers, "content-length").and_then(|v| v.parse::<usize>().ok()) {
        Some(length) => {
            body = vec![0; length];
            reader.read_exact(&mut body)?;
        }
        None if until_end => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// A connection of which a request was read. The handler writes the answer.
pub struct Exchange<'a> {
    pub request: Request,
    pub socket: &'a mut TcpStream,
}

impl Exchange<'_> {
    pub fn answer(&mut self, response: &Response) -> io::Result<()> {
        let mut out = format!("HTTP/1.1 {} X\r\n", response.status);
        for (name, value) in &response.headers {
            out += &format!("{name}: {value}\r\n");
        }
        out += &format!("Content-Length: {}\r\n\r\n", response.body.len());
        let mut bytes = out.into_bytes();
        bytes.extend(&response.body);
        self.socket.write_all(&bytes)
    }
}

/// Serves connections, each in a thread. The handler returns whether the connection is kept.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&mut Exchange<'_>) -> io::Result<bool> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for socket in listener.incoming() {
            let Ok(mut socket) = socket else { continue };
            let handler = handler.clone();
            let _ = socket.set_nodelay(true);
            let spawned = thread::Builder::new().stack_size(256 * 1024).spawn(move || {
                let Ok(read_half) = socket.try_clone() else { return };
                let mut reader = BufReader::new(read_half);
                while let Ok(Some((first, headers))) = read_head(&mut reader) {
                    let mut words = first.split(' ');
                    let method = words.next().unwrap_or("").to_owned();
                    let target = words.next().unwrap_or("").to_owned();
                    let Ok(body) = read_body(&mut reader, &headers, false) else { return };
                    let request = Request { method, target, headers, body };
                    let mut exchange = Exchange { request, socket: &mut socket };
                    if !matches!(handler(&mut exchange), Ok(true)) {
                        break;
                    }
                }
                let _ = socket.shutdown(std::net::Shutdown::Both);
            });
            drop(spawned);
        }
    });
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(to: SocketAddr, request: &Request, timeout: Duration) -> io::Result<Response> {
    let mut socket = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(timeout))?;
    let mut out = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    for (name, value) in &request.headers {
        out += &format!("{name}: {value}\r\n");
    }
    if !request.body.is_empty() || request.method == "POST" {
        out += &format!("Content-Length: {}\r\n", request.body.len());
    }
    out += "\r\n";
    let mut bytes = out.into_bytes();
    bytes.extend(&request.body);
    socket.write_all(&bytes)?;
    let mut reader = BufReader::new(socket);
    let Some((first, headers)) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let body = read_body(&mut reader, &headers, true)?;
    Ok(Response { status, headers, body })
}
