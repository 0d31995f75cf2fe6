package sqoperator

import (
	"bufio"
	"context"
	"encoding/hex"
	"flag"
	"io"
	"strings"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqkey"
)

var keyCommand = subcommand{
	name:    "key",
	args:    "hash | grant -id ID -team TEAM [-sha256 HEX] | withdraw ID",
	summary: "hash, grant or withdraw a key",
	help: `hash      reads a key from standard input and prints its SHA-256 in the form
          that teams.toml needs
grant     lets a key act for a team; the key is read from standard input unless
          -sha256 is given
withdraw  stops a key; it stays stopped, and a later publish of files that still
          grant it is refused

Keys are never taken from the command line, where other users could read them.
Only the hash leaves this process. The command waits until the change is in
force.`,
	addFlags: func(c *invocation, f *flag.FlagSet) {
		f.StringVar(&c.keyID, "id", "", "`name` of the key; not a secret")
		f.StringVar(&c.team, "team", "", "`team` that the key acts for")
		f.StringVar(&c.keySHA256, "sha256", "", "`hex` hash of the key")
		addOperationFlag(c, f)
	},
	run: runKey,
}

func runKey(ctx context.Context, c *invocation) error {
	if len(c.args) == 0 {
		return c.usageError("an argument is missing")
	}
	action := c.args[0]
	c.args = c.args[1:]
	switch action {
	case "hash":
		return c.runKeyHash()
	case "grant":
		return c.runKeyGrant(ctx)
	case "withdraw":
		return c.runKeyWithdraw(ctx)
	}
	return c.usageError("there is no key action " + action)
}

func (c *invocation) runKeyHash() error {
	if err := c.requireArgs(0); err != nil {
		return err
	}
	hash, err := c.readKeyHash()
	if err != nil {
		return err
	}
	if c.jsonOutput {
		return c.printJSON(struct {
			SHA256 string `json:"sha256"`
		}{hex.EncodeToString(hash)})
	}
	c.printf("%s\n", hex.EncodeToString(hash))
	return nil
}

func (c *invocation) runKeyGrant(ctx context.Context) error {
	if err := c.requireArgs(0); err != nil {
		return err
	}
	if c.keyID == "" || c.team == "" {
		return c.usageError("-id or -team is missing")
	}
	hash, err := c.hashFromFlagOrStdin()
	if err != nil {
		return err
	}
	client, err := c.newClient()
	if err != nil {
		return err
	}
	return c.commitAndWait(ctx, client, &sqcommand.Command{
		Body: &sqcommand.Command_GrantKey{GrantKey: &sqcommand.GrantKey{Key: &sqcommand.Key{Id: c.keyID, Team: c.team, Sha256: hash}}},
	}, "key "+c.keyID+" of team "+c.team)
}

func (c *invocation) runKeyWithdraw(ctx context.Context) error {
	if err := c.requireArgs(1); err != nil {
		return err
	}
	client, err := c.newClient()
	if err != nil {
		return err
	}
	return c.commitAndWait(ctx, client, &sqcommand.Command{
		Body: &sqcommand.Command_WithdrawKey{WithdrawKey: &sqcommand.WithdrawKey{KeyId: c.args[0]}},
	}, "the withdrawal of key "+c.args[0])
}

func (c *invocation) hashFromFlagOrStdin() ([]byte, error) {
	if c.keySHA256 == "" {
		return c.readKeyHash()
	}
	hash, err := hex.DecodeString(c.keySHA256)
	if err != nil || len(hash) != len(sqkey.Hash{}) {
		return nil, sqerror.New(sqerror.Config{
			Kind: sqerror.Usage, Detail: "-sha256 is not a SHA-256", Advice: "give the 64 hex digits that \"sequoiadock key hash\" prints",
		})
	}
	return hash, nil
}

// readKeyHash reads a key from one line of standard input and returns its
// SHA-256. The key itself is neither printed nor sent.
func (c *invocation) readKeyHash() ([]byte, error) {
	line, err := bufio.NewReader(io.LimitReader(c.stdin, sqkey.MaxLength+2)).ReadString('\n')
	if err != nil && err != io.EOF {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.Usage, Detail: "the key cannot be read from standard input", Cause: err})
	}
	key := strings.TrimRight(line, "\r\n")
	if !sqkey.WellFormed(key) {
		return nil, sqerror.New(sqerror.Config{
			Kind: sqerror.BadKey, Detail: "standard input contains no valid key", Advice: "give one line of 16 to 256 letters, digits and -_.~+/=",
		})
	}
	hash := sqkey.Sum(key)
	return hash[:], nil
}
