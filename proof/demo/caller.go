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

// maxAnswer bounds what is read of an answer.
const maxAnswer = 1 << 20

func (d *demo) address(ctx context.Context) error {
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
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err == nil {
		err = json.Unmarshal(body, &list)
	}
	if err != nil || len(list.Addresses) == 0 {
		return failed("read the addresses: "+string(body), err)
	}
	d.say("GET /sequoiadock/addresses?zone=" + zone)
	d.say(string(body))
	d.entry = list.Addresses[0].Address
	d.say("nearest: " + d.entry)
	return nil
}

func (d *demo) ask(ctx context.Context) error {
	question := `{"model":"` + d.example.model + `","stream":true,"max_tokens":24,"messages":[{"role":"user","content":"What are the rules of the park?"}]}`
	begun := time.Now()
	res, err := d.send(ctx, d.entry, http.MethodPost, "/v1/chat/completions", question, d.example.key, "")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	d.decision = res.Header.Get("Sequoiadock-Decision")
	var words strings.Builder
	var first time.Duration
	tokens, whole := 0, false
	lines := bufio.NewScanner(io.LimitReader(res.Body, maxAnswer))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			whole = true
			continue
		}
		var event struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) == 0 {
			return failed("read the stream: "+data, err)
		}
		if tokens == 0 {
			first = time.Since(begun)
		}
		tokens++
		words.WriteString(event.Choices[0].Delta.Content)
	}
	if !whole {
		return failed("read the stream: no end after "+words.String(), lines.Err())
	}
	d.say("streamed answer: " + words.String())
	d.say(fmt.Sprintf("%d tokens, the first after %d ms, the end after %d ms", tokens, first.Milliseconds(), time.Since(begun).Milliseconds()))
	d.say("decision: " + d.decision)
	return nil
}

// book sends one call twice; it runs once and has one answer.
func (d *demo) book(ctx context.Context) error {
	var first string
	for i := range 2 {
		res, err := d.send(ctx, d.entry, http.MethodPost, d.example.call, `{"place":7}`, d.example.key, "demo-call-1")
		if err != nil {
			return err
		}
		body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
		res.Body.Close()
		if err != nil {
			return failed("read the answer", err)
		}
		d.say("POST " + d.example.call + " with Idempotency-Key demo-call-1: " + strconv.Itoa(res.StatusCode) + " " + strings.TrimSpace(string(body)))
		if i > 0 && first != string(body) {
			return failed("the two answers differ", nil)
		}
		first = string(body)
	}
	return nil
}

func (d *demo) wrongKey(ctx context.Context) error {
	return d.expectRefusal(ctx, "a-key-that-nobody-was-given")
}

// expectRefusal sends a question that must not run.
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
	d.say(refused.Detail())
	return nil
}

// send makes one request and wants a good answer.
func (d *demo) send(ctx context.Context, address, method, path, body, key, identity string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, failed("make a request", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if identity != "" {
		req.Header.Set("Idempotency-Key", identity)
	}
	res, err := d.client.Do(req)
	if err != nil {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.Unreachable, Detail: address + path, Cause: err})
	}
	if res.StatusCode < http.StatusBadRequest {
		return res, nil
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	return nil, sqerror.New(sqerror.Config{Kind: sqerror.Refused, Detail: res.Status + " " + strings.TrimSpace(string(text)), Cause: err})
}

// asRefused finds the refusal in err.
func asRefused(err error, refused **sqerror.Error) bool {
	return errors.As(err, refused) && (*refused).Kind() == sqerror.Refused
}
