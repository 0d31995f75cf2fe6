package sqengine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqanswer"
	"sequoiadock/standin/sqfailure"
	"sequoiadock/standin/sqfault"
	"sequoiadock/standin/sqserver"
)

// fetchTimeout bounds a transfer between engines or from the weight store.
const fetchTimeout = 2 * time.Minute

// export is the KV cache and the text of a request, as engines hand it on.
type export struct {
	RequestID string `json:"requestId"`
	Model     string `json:"model"`
	Text      string `json:"text"`
	MaxTokens int    `json:"maxTokens"`
	Priority  int    `json:"priority"`
	Position  int    `json:"position"`
	Bytes     int64  `json:"bytes"`
}

type exportAnswer struct {
	Handle   string `json:"handle"`
	Position int    `json:"position"`
	Bytes    int64  `json:"bytes"`
}

type kvRequest struct {
	RequestID   string `json:"requestId"`
	Handle      string `json:"handle"`
	FromAddress string `json:"fromAddress"`
}

func (e *Engine) handleExport(c echo.Context) error {
	var r kvRequest
	if err := sqserver.Decode(c, &r); err != nil {
		return err
	}
	if done, err := e.faultKV(c, sqfault.OnKVExport); done {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sessions[r.RequestID]
	if !ok || s.prefillLeft > 0 || s.position == 0 || e.changing {
		return c.JSON(http.StatusNotFound, refusal{Error: "unknownRequest"})
	}
	x := export{
		RequestID: s.id, Model: s.model, Text: s.text, MaxTokens: s.max, Priority: s.priority, Position: s.position,
		Bytes: int64(s.prompt+s.position) * e.cfg.Limits.KVBytesPerToken,
	}
	handle := e.cfg.Name + "-" + strconv.Itoa(len(e.exports)+1)
	e.exports[handle] = x
	return c.JSON(http.StatusOK, exportAnswer{Handle: handle, Position: x.Position, Bytes: x.Bytes})
}

// handleData gives an export to another engine, at the rate of the link.
func (e *Engine) handleData(c echo.Context) error {
	e.mu.Lock()
	x, ok := e.exports[c.QueryParam("handle")]
	e.mu.Unlock()
	if !ok {
		return c.JSON(http.StatusNotFound, refusal{Error: "unknownHandle"})
	}
	seconds := float64(x.Bytes) / e.cfg.TimeModel.KVBytesPerSecond
	select {
	case <-time.After(e.cfg.scaled(time.Duration(seconds * float64(time.Second)))):
	case <-c.Request().Context().Done():
	}
	return c.JSON(http.StatusOK, x)
}

func (e *Engine) handleImport(c echo.Context) error {
	var r kvRequest
	if err := sqserver.Decode(c, &r); err != nil {
		return err
	}
	if done, err := e.faultKV(c, sqfault.OnKVImport); done {
		return err
	}
	e.mu.Lock()
	changing := e.changing
	e.mu.Unlock()
	if changing {
		return c.JSON(http.StatusServiceUnavailable, refusal{Error: "notStarted"})
	}
	x, err := fetchExport(c.Request().Context(), r)
	if err != nil {
		return c.JSON(http.StatusNotFound, refusal{Error: err.Error()})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changing {
		return c.JSON(http.StatusServiceUnavailable, refusal{Error: "notStarted"})
	}
	e.addImport(x)
	return c.JSON(http.StatusOK, exportAnswer{Handle: r.Handle, Position: x.Position, Bytes: x.Bytes})
}

// addImport keeps an imported request until it is resumed; the lock is held.
func (e *Engine) addImport(x export) {
	if old, ok := e.sessions[x.RequestID]; ok {
		e.end(old, endedReplaced)
	}
	s := newSession(x.RequestID, x.Model, x.Text, x.MaxTokens, x.Priority)
	s.admitted = true
	s.position = x.Position
	s.cached = s.prompt
	s.ended = endedPrefilled
	if s.position >= s.answer.Len() {
		s.ended = endedWhole
	}
	e.sessions[s.id] = s
	e.cache.store(s.model, s.pieces, time.Now())
	e.forgetLater(s)
}

func newSession(id, model, text string, maxTokens, priority int) *session {
	pieces, words := sqanswer.PrefixBlocks(text)
	return &session{
		id: id, model: model, text: text, max: maxTokens, priority: priority,
		answer: sqanswer.New(model, text, maxTokens), pieces: pieces, prompt: words,
		changed: make(chan struct{}),
	}
}

func fetchExport(ctx context.Context, r kvRequest) (export, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	target := "http://" + r.FromAddress + "/v1/kv/data?handle=" + url.QueryEscape(r.Handle)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return export{}, sqfailure.New(sqfailure.Config{Action: "import", Cause: err})
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return export{}, sqfailure.New(sqfailure.Config{Action: "import", Cause: err})
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return export{}, sqfailure.New(sqfailure.Config{Action: "import", Detail: res.Status})
	}
	var x export
	if err := json.NewDecoder(res.Body).Decode(&x); err != nil {
		return export{}, sqfailure.New(sqfailure.Config{Action: "import", Cause: err})
	}
	return x, nil
}

// fetchWeights reads a model from the weight store and throws the bytes away.
func fetchWeights(store, modelVersion string, stopped <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	go func() {
		select {
		case <-stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	name, version := splitModel(modelVersion)
	target := "http://" + store + "/v1/weights/" + url.PathEscape(name) + "/" + url.PathEscape(version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return sqfailure.New(sqfailure.Config{Action: "load model", Cause: err})
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return sqfailure.New(sqfailure.Config{Action: "load model", Cause: err})
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return sqfailure.New(sqfailure.Config{Action: "load model", Detail: res.Status})
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return sqfailure.New(sqfailure.Config{Action: "load model", Cause: err})
	}
	return nil
}
