package sqcoordinator

import (
	"context"
	"errors"

	sqcore "sequoiadock/core"
	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqclock"
)

var _ sqcore.Declarations = (*coordinator)(nil)

// Declare implements sqcore.Declarations.
func (c *coordinator) Declare(ctx context.Context, document []byte) error {
	c.parsingTable.Lock()
	table, err := c.cfg.Wire.ParseTable(document)
	c.parsingTable.Unlock()
	if err != nil {
		c.log.Event(sqevent.TableRefused, len(document), err.Error())
		return err
	}
	if _, err := c.currentTerm(sqclock.Now()); err != nil {
		return c.withOperatorAddress(err)
	}
	res, err := c.propose(ctx, &sqcommand.Command{Body: &sqcommand.Command_Declare{
		Declare: &sqcommand.Declare{Version: table.Version(), Document: document},
	}})
	if err != nil {
		c.log.Event(sqevent.TableNotCommitted, table.Version(), err.Error())
		return c.withOperatorAddress(err)
	}
	c.log.Event(sqevent.TableCommitted, table.Version(), res.GetVersion())
	return nil
}

// Declared implements sqcore.Declarations.
func (c *coordinator) Declared(context.Context) ([]byte, error) {
	t, err := c.currentTerm(sqclock.Now())
	if err != nil {
		return nil, c.withOperatorAddress(err)
	}
	var document []byte
	c.stateMachine.Read(func(s *sqstate.State) { _, document = s.RoutingTable() })
	if err := c.checkLease(t); err != nil {
		return nil, c.withOperatorAddress(err)
	}
	if len(document) == 0 {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.NotFound, Detail: "no table was declared yet"})
	}
	return document, nil
}

// withOperatorAddress returns err unchanged, unless it is of kind NotHolder and names
// the lease holder: then it names the holder by its address for operators.
func (c *coordinator) withOperatorAddress(err error) error {
	var e *sqerror.Error
	if !errors.As(err, &e) || e.Kind() != sqerror.NotHolder || e.RedirectAddress() == "" {
		return err
	}
	return sqerror.New(sqerror.Config{
		Kind: sqerror.NotHolder, Execution: sqerror.NotRun, Detail: e.Detail(), RedirectAddress: c.operatorAddress(e.RedirectAddress()),
	})
}
