package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
)

// Sizes of the background load. Long prompts with short answers shift the mix of
// requests away from the one that the fleet's roles fit, so that roles change.
const (
	loadCallers     = 16
	loadPromptWords = 3000
	loadMaxTokens   = 4
)

// startLoad sends requests from several callers until the returned function is
// called, which returns how many were answered. Refused requests don't matter,
// since the load only has to shift the mix of requests.
func (d *demo) startLoad(ctx context.Context) (stop func() int) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for i := range loadCallers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if d.sendLongPrompt(ctx, fmt.Sprintf("caller%dRequest%d", i, n)) {
					mu.Lock()
					answered++
					mu.Unlock()
				}
			}
		})
	}
	return func() int {
		cancel()
		wg.Wait()
		return answered
	}
}

// sendLongPrompt sends one request with a prompt that is in no cache, and reports
// whether it was answered.
func (d *demo) sendLongPrompt(ctx context.Context, name string) bool {
	prompt := strings.Repeat(name+" ", loadPromptWords)
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, d.example.model, loadMaxTokens, prompt)
	res, err := d.send(ctx, d.entry, http.MethodPost, "/v1/chat/completions", body, d.example.key, "")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxAnswerBytes))
	return err == nil
}
