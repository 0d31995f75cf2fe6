package sqattempt

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestContentHash(t *testing.T) {
	base := func() *Content {
		return &Content{Caller: "team", Method: "POST", Host: "h.example", Target: "/a/b?c", Body: []byte("body"),
			Prompt: &Prompt{Model: "m", Tokens: 10, Parts: []Part{{ID: "ab", Tokens: 4}, {ID: "cd", Tokens: 6}}}}
	}
	same := base()
	same.Host = "H.example"
	same.Prompt.Tokens = 11
	assert.Equal(t, same.Hash(), base().Hash())
	for name, edit := range map[string]func(c *Content){
		"caller":           func(c *Content) { c.Caller = "other" },
		"method":           func(c *Content) { c.Method = "PUT" },
		"host":             func(c *Content) { c.Host = "i.example" },
		"path":             func(c *Content) { c.Target = "/a/c?c" },
		"query":            func(c *Content) { c.Target = "/a/b?d" },
		"model":            func(c *Content) { c.Prompt.Model = "n" },
		"part":             func(c *Content) { c.Prompt.Parts[1].ID = "ce" },
		"parts run on":     func(c *Content) { c.Prompt.Parts = []Part{{ID: "abcd"}} },
		"body":             func(c *Content) { c.Body = []byte("bodx") },
		"moved into body":  func(c *Content) { c.Prompt.Parts, c.Body = c.Prompt.Parts[:1], []byte("2:cdbody") },
		"no prompt":        func(c *Content) { c.Prompt = &Prompt{} },
		"fields that move": func(c *Content) { c.Caller, c.Method = "teamP", "OST" },
	} {
		c := base()
		edit(c)
		assert.Assert(t, c.Hash() != base().Hash(), name)
	}
}
