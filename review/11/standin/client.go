package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// directory is what clients know of the gateways' addresses.
type directory struct {
	d  *deployment
	mu sync.Mutex
	// addresses may be used until until.
	addresses []string
	until     time.Time
}

// pick returns the address of a gateway.
func (c *directory) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := 0; time.Now().After(c.until) && i < gatewayCount; i++ {
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		res, err := client.Get("http://" + c.d.address(firstGatewayHost+i, portDirectory) + "/sequoiadock/resolve?name=review.example&region=region&zone=zone-a")
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTLS      int      `json:"ttlS"`
		}
		err = json.NewDecoder(res.Body).Decode(&answer)
		_ = res.Body.Close()
		if err == nil && res.StatusCode == http.StatusOK && len(answer.Addresses) > 0 {
			c.addresses, c.until = answer.Addresses, time.Now().Add(time.Duration(answer.TTLS)*time.Second)
		}
	}
	if len(c.addresses) == 0 {
		return c.d.address(firstGatewayHost, portFront)
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// try is one client attempt at a stream.
type try struct {
	id, address string
	at          time.Time
	status      int
	events      []event
	// whole is set if the answer ended as complete.
	whole      bool
	retryAfter time.Duration
	err        string
}

// event is one event as the client got it.
type event struct {
	id      int
	worker  string
	version string
}

// ask is what a client sends.
type ask struct {
	path, key, prefix, body string
	deadline                time.Duration
	lastEventID             int
	resumes                 string
}

var requestNumber atomic.Uint64

// send sends one client attempt on a new channel and reads its answer.
func send(dir *directory, a ask) *try {
	t := &try{id: fmt.Sprintf("%08x%08x", rand.Uint32(), requestNumber.Add(1)), address: dir.pick(), at: time.Now()}
	req, err := http.NewRequest(http.MethodPost, "http://"+t.address+a.path, strings.NewReader(a.body))
	if err != nil {
		t.err = err.Error()
		return t
	}
	req.Host = "review.example"
	h := req.Header
	h.Set("Sequoiadock-Request-Id", t.id)
	h.Set("Sequoiadock-Deadline-Ms", strconv.FormatInt(a.deadline.Milliseconds(), 10))
	h.Set("Sequoiadock-Model", "m")
	h.Set("Authorization", "Bearer "+a.key)
	h.Set("Sequoiadock-Prefix-Hash", a.prefix)
	h.Set("Sequoiadock-Token-Count", "40,24")
	if a.lastEventID > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(a.lastEventID))
		h.Set("Resumes", a.resumes)
	}
	client := &http.Client{Timeout: a.deadline + 500*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(req)
	if err != nil {
		t.err = err.Error()
		return t
	}
	defer res.Body.Close()
	t.status = res.StatusCode
	if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		t.retryAfter = time.Duration(s * float64(time.Second))
	}
	if res.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, res.Body)
		t.whole = true
		return t
	}
	t.read(res.Body)
	return t
}

// read reads events until the end of the answer.
func (t *try) read(body io.Reader) {
	r := bufio.NewReader(body)
	var e event
	for {
		line, err := r.ReadString('\n')
		if err == io.EOF {
			t.whole = line == "" && e.id == 0
			return
		}
		if err != nil {
			t.err = err.Error()
			return
		}
		switch text := strings.TrimRight(line, "\r\n"); {
		case strings.HasPrefix(text, "id: "):
			e.id, _ = strconv.Atoi(text[4:])
		case strings.HasPrefix(text, "data: "):
			e.worker, e.version, _ = strings.Cut(text[6:], " ")
		case text == "" && e.id > 0:
			t.events = append(t.events, e)
			e = event{}
		}
	}
}
