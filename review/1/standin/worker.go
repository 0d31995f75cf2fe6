package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// keepAliveSeconds is the idle timeout that workers state.
	keepAliveSeconds = 5
	// restartTime is how long a worker is down after a crash.
	restartTime = 3 * time.Second
)

// workerConfig says how a worker behaves.
type workerConfig struct {
	service, address string
	// slots is how many requests run at once, queue how many may wait.
	slots, queue int
	// workTime returns how long a request runs.
	workTime func(r *http.Request) time.Duration
	// pieces and pieceGap are the number of events of a stream and the time between them.
	pieces   int
	pieceGap time.Duration
	// crashes reports whether the worker crashes as it begins to run the request.
	crashes func(r *http.Request) bool
	// version is the version of the worker's software.
	version string
	// cutShare is the share of the streams that are broken off after an event.
	cutShare float64
}

// run is a request that a worker began to run.
type run struct {
	id     string
	worker string
	at     time.Time
}

// worker is the stand-in of a worker. It speaks HTTP/1.1 byte by byte, so that it can also
// break off an answer.
type worker struct {
	cfg workerConfig
	lab *lab

	mu        sync.Mutex
	id        string
	listener  net.Listener
	conns     map[net.Conn]bool
	running   int
	waiting   int
	freed     *sync.Cond
	runs      []run
	crashedAt []time.Time
	stopped   bool
}

func newWorker(l *lab, cfg workerConfig) *worker {
	w := &worker{cfg: cfg, lab: l, conns: map[net.Conn]bool{}, id: newID()}
	w.freed = sync.NewCond(&w.mu)
	return w
}

func newID() string { return fmt.Sprintf("i-%08x", rand.Uint32()) }

func (w *worker) listEntry() listEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return listEntry{ID: w.id, Service: w.cfg.service, Address: w.cfg.address, Zone: "valle-a", Version: w.cfg.version, Slots: w.cfg.slots, State: "ready"}
}

func (w *worker) start() error {
	ln, err := net.Listen("tcp", w.cfg.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.listener = ln
	w.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = true
			w.mu.Unlock()
			go w.serve(c)
		}
	}()
	return nil
}

func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.endProcess()
}

// endProcess closes the listener and resets all channels; mu must be held.
func (w *worker) endProcess() {
	_ = w.listener.Close()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	w.conns = map[net.Conn]bool{}
	w.running, w.waiting = 0, 0
}

// crash ends the worker and starts it again, as a new incarnation, after restartTime.
func (w *worker) crash(requestID string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashedAt = append(w.crashedAt, time.Now())
	w.lab.record("worker %s crashes as it runs %s", w.id, requestID)
	w.endProcess()
	time.AfterFunc(restartTime, func() {
		w.mu.Lock()
		stopped := w.stopped
		w.id = newID()
		id := w.id
		w.mu.Unlock()
		if !stopped && w.start() == nil {
			w.lab.record("worker %s is back at %s", id, w.cfg.address)
		}
	})
}

// serve serves the requests of one channel, one after the other.
func (w *worker) serve(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !w.respond(req, c) {
			return
		}
	}
}

func requestID(r *http.Request) string { return r.Header.Get("Sequoiadock-Request-Id") }

// respond answers one request. It returns false if the channel ends.
func (w *worker) respond(req *http.Request, out io.Writer) bool {
	w.mu.Lock()
	id := w.id
	w.mu.Unlock()
	if expected := req.Header.Get("Sequoiadock-Expect-Instance"); expected != "" && expected != id {
		return write(out, "HTTP/1.1 421 Misdirected Request\r\nSequoiadock-Instance-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
	}
	if !w.enter() {
		w.lab.record("worker %s is full and rejects %s", id, requestID(req))
		return write(out, "HTTP/1.1 503 Service Unavailable\r\nSequoiadock-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	defer w.leave()
	w.mu.Lock()
	w.runs = append(w.runs, run{id: requestID(req), worker: id, at: time.Now()})
	w.mu.Unlock()
	w.lab.record("worker %s runs %s", id, requestID(req))
	if w.cfg.crashes != nil && w.cfg.crashes(req) {
		w.crash(requestID(req))
		return false
	}
	if w.cfg.pieces > 0 {
		return w.stream(req, out)
	}
	time.Sleep(w.cfg.workTime(req))
	body := "done " + requestID(req)
	return write(out, w.head(req, "text/plain")+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
}

// head returns the status line and the headers that all answers to a run have.
func (w *worker) head(req *http.Request, contentType string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nSequoiadock-Request-Id: %s\r\nSequoiadock-Server-Signature: sig.%s\r\nSequoiadock-Instance-Load: %d,%d,%d\r\nKeep-Alive: timeout=%d\r\nContent-Type: %s\r\n",
		requestID(req), requestID(req), w.running, w.waiting, w.cfg.slots, keepAliveSeconds, contentType)
}

// stream answers with a series of events in chunks, from the one after Last-Event-Id on.
func (w *worker) stream(req *http.Request, out io.Writer) bool {
	if !write(out, w.head(req, "text/event-stream")+"Transfer-Encoding: chunked\r\n\r\n") {
		return false
	}
	// A header that is missing or no number means the first event.
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	cutAfter := 0
	if rand.Float64() < w.cfg.cutShare {
		cutAfter = last + 1 + rand.IntN(max(1, w.cfg.pieces-last))
	}
	for i := last + 1; i <= w.cfg.pieces; i++ {
		time.Sleep(w.cfg.pieceGap)
		event := fmt.Sprintf("id: %d\ndata: %s %s\n\n", i, w.cfg.version, requestID(req))
		if !write(out, fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			w.lab.record("the channel of %s ends while the worker is at event %d", requestID(req), i)
			return false
		}
		if i == cutAfter {
			w.lab.record("worker of version %s breaks off %s after event %d", w.cfg.version, requestID(req), i)
			return false
		}
	}
	return write(out, "0\r\n\r\n")
}

func write(out io.Writer, s string) bool {
	_, err := io.WriteString(out, s)
	return err == nil
}

// enter waits for a slot. It returns false if the queue is full.
func (w *worker) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.cfg.slots && w.waiting >= w.cfg.queue {
		return false
	}
	w.waiting++
	for w.running >= w.cfg.slots {
		w.freed.Wait()
	}
	w.waiting = max(0, w.waiting-1)
	w.running++
	return true
}

func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = max(0, w.running-1)
	w.freed.Signal()
}

// runsOf returns all runs of the workers, by request.
func runsOf(workers []*worker) map[string][]run {
	byID := map[string][]run{}
	for _, w := range workers {
		w.mu.Lock()
		for _, r := range w.runs {
			byID[r.id] = append(byID[r.id], r)
		}
		w.mu.Unlock()
	}
	return byID
}
