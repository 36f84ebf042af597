//! Passes on connections of other nodes to engines.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use futures_util::SinkExt;
use slog::{debug, info};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_util::codec::FramedWrite;

use super::dial::MAX_LINE_BYTES;
use super::{Answer, Frame, FrameCodec, Question};
use crate::connections::{DescriptorShare, OpenConnections, accept_connections};
use crate::gateway::Gateway;
use crate::upstream::{connect, watch_for_silence};

const BUFFER_BYTES: usize = 8_192;

/// Accepts tunnels of other nodes until dropped.
pub async fn serve_tunnels(gateway: Rc<Gateway>, listener: TcpListener) {
    // Those beyond the share are refused with an answer, not by waiting.
    let connections =
        OpenConnections::at_most(&gateway, || 2 * DescriptorShare::Tunnels.most_connections());
    let serve = move |stream, connection| {
        let gateway = Rc::clone(&gateway);
        spawn_local(async move {
            let _connection = connection;
            if let Err(error) = serve_tunnel(&gateway, stream).await {
                debug!(gateway.log(), "tunnel_broken"; "error" => %error);
            }
        });
    };
    accept_connections(connections, listener, serve).await;
}

async fn serve_tunnel(gateway: &Rc<Gateway>, stream: TcpStream) -> io::Result<()> {
    let connect_settings = &gateway.settings().connect;
    watch_for_silence(&stream, connect_settings)?;
    let (read, mut write) = stream.into_split();
    let mut read = BufReader::with_capacity(BUFFER_BYTES, read);
    let mut line = String::new();
    let mut first = (&mut read).take(MAX_LINE_BYTES);
    let read_line = first.read_line(&mut line);
    timeout(connect_settings.timeout, read_line).await??;
    let question: Question = serde_json::from_str(&line)?;
    let opened = open(gateway, &question).await;
    let answer = opened.as_ref().err().copied().unwrap_or(Answer::Open);
    log_tunnel(gateway, &question, answer);
    let mut line = serde_json::to_vec(&answer)?;
    line.push(b'\n');
    write.write_all(&line).await?;
    let Ok(engine) = opened else {
        return Ok(());
    };
    let _tunnel = gateway.count_tunnel();
    let (engine_read, engine_write) = engine.into_split();
    tokio::select! {
        // The end of the other node's connection cancels what the engine does for it.
        () = pass_requests(read, engine_write) => Ok(()),
        passed = pass_answers(engine_read, write) => passed,
    }
}

/// Connects to the engine, or says why not. A tunnel never goes through a further node.
async fn open(gateway: &Gateway, question: &Question) -> Result<TcpStream, Answer> {
    let address = check(gateway, question)?;
    let connected = connect(address, &gateway.settings().connect).await;
    connected.map_err(|error| match error.kind() {
        io::ErrorKind::TimedOut => Answer::Unreached,
        _ => Answer::Refused,
    })
}

fn check(gateway: &Gateway, question: &Question) -> Result<SocketAddr, Answer> {
    if gateway.is_leaving() {
        return Err(Answer::Leaving);
    }
    if gateway.state().open_tunnels >= DescriptorShare::Tunnels.most_connections() {
        return Err(Answer::Full);
    }
    if gateway.upstream().dialer().is_blocked(&question.engine) {
        return Err(Answer::Blocked);
    }
    let state = gateway.state();
    let engine = state.engines.get(&question.engine);
    engine
        .map(|engine| engine.entry.address)
        .ok_or(Answer::Unlisted)
}

fn log_tunnel(gateway: &Gateway, question: &Question, answer: Answer) {
    let tunnels = &gateway.metrics().tunnels_served;
    tunnels.with_label_values(&[&answer.to_string()]).inc();
    if let Some(left_out) = gateway.path_sampler().admit(gateway.clock().now()) {
        info!(gateway.log(), "tunnel_asked"; "from" => %question.from, "engine" => %question.engine,
            "answer" => %answer, "open" => gateway.state().open_tunnels, "left_out" => left_out);
    }
}

/// Passes on what the other node writes, until it closes its connection.
async fn pass_requests(mut read: BufReader<OwnedReadHalf>, mut engine: OwnedWriteHalf) {
    let mut takes_more = true;
    loop {
        let bytes = match read.fill_buf().await {
            Ok([]) | Err(_) => return,
            Ok(bytes) => bytes,
        };
        let length = bytes.len();
        // An engine may answer and close without having read all of a request; then its answer still counts.
        takes_more = takes_more && engine.write_all(bytes).await.is_ok();
        read.consume(length);
    }
}

/// Passes on what the engine writes, in frames, with the way in which its connection ends.
async fn pass_answers(mut engine: OwnedReadHalf, write: OwnedWriteHalf) -> io::Result<()> {
    let mut frames = FramedWrite::new(write, FrameCodec);
    let mut buffer = BytesMut::with_capacity(BUFFER_BYTES);
    loop {
        buffer.reserve(BUFFER_BYTES);
        let frame = match engine.read_buf(&mut buffer).await {
            Ok(0) => Frame::End,
            Ok(_) => Frame::Data(buffer.split().freeze()),
            Err(_) => Frame::Reset,
        };
        let is_last = !matches!(frame, Frame::Data(_));
        frames.send(frame).await?;
        if is_last {
            return frames.get_mut().shutdown().await;
        }
    }
}
