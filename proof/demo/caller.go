package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sequoiadock/core/sqerror"
)

// maxAnswerBytes bounds how much of an answer is read.
const maxAnswerBytes = 1 << 20

// findEntry asks the first entry for the addresses near a zone and stores the
// nearest one for the later requests.
func (d *demo) findEntry(ctx context.Context) error {
	zone := d.cluster.Entries()[1].Zone()
	first := d.cluster.Entries()[0].CallerAddress()
	res, err := d.send(ctx, first, http.MethodGet, "/sequoiadock/addresses?zone="+zone, "", "", "")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	var list struct {
		Addresses []struct{ Address, Zone string }
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err == nil {
		err = json.Unmarshal(body, &list)
	}
	if err != nil || len(list.Addresses) == 0 {
		return newFailure("read the addresses: "+string(body), err)
	}
	d.print("GET /sequoiadock/addresses?zone=" + zone)
	d.print(string(body))
	d.entry = list.Addresses[0].Address
	d.print("nearest: " + d.entry)
	return nil
}

// streamChat sends a streaming chat request, prints the answer with its latencies
// and stores the ID of the decision.
func (d *demo) streamChat(ctx context.Context) error {
	chatRequest := `{"model":"` + d.example.model + `","stream":true,"max_tokens":24,"messages":[{"role":"user","content":"What are the rules of the park?"}]}`
	start := time.Now()
	res, err := d.send(ctx, d.entry, http.MethodPost, "/v1/chat/completions", chatRequest, d.example.key, "")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	d.decision = res.Header.Get("Sequoiadock-Decision")
	var answer strings.Builder
	var first time.Duration
	tokens, complete := 0, false
	lines := bufio.NewScanner(io.LimitReader(res.Body, maxAnswerBytes))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		var event struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) == 0 {
			return newFailure("read the stream: "+data, err)
		}
		if tokens == 0 {
			first = time.Since(start)
		}
		tokens++
		answer.WriteString(event.Choices[0].Delta.Content)
	}
	if !complete {
		return newFailure("read the stream: no end after "+answer.String(), lines.Err())
	}
	d.print("streamed answer: " + answer.String())
	d.print(fmt.Sprintf("%d tokens, the first after %d ms, the end after %d ms", tokens, first.Milliseconds(), time.Since(start).Milliseconds()))
	d.print("decision: " + d.decision)
	return nil
}

// book sends one call twice with the same idempotency key. The call runs once, and
// both answers are equal.
func (d *demo) book(ctx context.Context) error {
	var firstAnswer string
	for i := range 2 {
		res, err := d.send(ctx, d.entry, http.MethodPost, d.example.call, `{"place":7}`, d.example.key, "demo-call-1")
		if err != nil {
			return err
		}
		body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
		res.Body.Close()
		if err != nil {
			return newFailure("read the answer", err)
		}
		d.print("POST " + d.example.call + " with Idempotency-Key demo-call-1: " + strconv.Itoa(res.StatusCode) + " " + strings.TrimSpace(string(body)))
		if i > 0 && firstAnswer != string(body) {
			return newFailure("the two answers differ", nil)
		}
		firstAnswer = string(body)
	}
	return nil
}

func (d *demo) wrongKey(ctx context.Context) error {
	return d.expectRefusal(ctx, "a-key-that-nobody-was-given")
}

// expectRefusal sends a chat request that must be refused.
func (d *demo) expectRefusal(ctx context.Context, key string) error {
	body := `{"model":"` + d.example.model + `","max_tokens":1,"messages":[{"role":"user","content":"hello"}]}`
	res, err := d.send(ctx, d.entry, http.MethodPost, "/v1/chat/completions", body, key, "")
	if err == nil {
		res.Body.Close()
		return sqerror.New(sqerror.Config{Kind: sqerror.Refused, Detail: "the request ran"})
	}
	var refused *sqerror.Error
	if !asRefused(err, &refused) {
		return err
	}
	d.print(refused.Detail())
	return nil
}

// send makes one request and returns an error for every status from 400 on.
func (d *demo) send(ctx context.Context, address, method, path, body, key, idempotencyKey string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, newFailure("make a request", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	res, err := d.client.Do(req)
	if err != nil {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.Unreachable, Detail: address + path, Cause: err})
	}
	if res.StatusCode < http.StatusBadRequest {
		return res, nil
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	return nil, sqerror.New(sqerror.Config{Kind: sqerror.Refused, Detail: res.Status + " " + strings.TrimSpace(string(text)), Cause: err})
}

// asRefused reports whether err contains a refusal, and stores the refusal in refused.
func asRefused(err error, refused **sqerror.Error) bool {
	return errors.As(err, refused) && (*refused).Kind() == sqerror.Refused
}
