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
	table, err := c.cfg.Wire.Table(document)
	if err != nil {
		c.log.Event(sqevent.TableRefused, len(document), err.Error())
		return err
	}
	if _, err := c.current(sqclock.Now()); err != nil {
		return c.forOperators(err)
	}
	res, err := c.propose(ctx, &sqcommand.Command{Body: &sqcommand.Command_Declare{
		Declare: &sqcommand.Declare{Version: table.Version(), Document: document},
	}})
	if err != nil {
		c.log.Event(sqevent.TableNotCommitted, table.Version(), err.Error())
		return c.forOperators(err)
	}
	c.log.Event(sqevent.TableCommitted, table.Version(), res.GetVersion())
	return nil
}

// Declared implements sqcore.Declarations.
func (c *coordinator) Declared(context.Context) ([]byte, error) {
	t, err := c.current(sqclock.Now())
	if err != nil {
		return nil, c.forOperators(err)
	}
	var document []byte
	c.machine.Read(func(s *sqstate.State) { _, document = s.RoutingTable() })
	if err := c.stillHolds(t); err != nil {
		return nil, c.forOperators(err)
	}
	if len(document) == 0 {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.NotFound, Detail: "no table was declared yet"})
	}
	return document, nil
}

// forOperators names the holder by the address at which it answers operators.
func (c *coordinator) forOperators(err error) error {
	var e *sqerror.Error
	if !errors.As(err, &e) || e.Kind() != sqerror.NotHolder || e.Elsewhere() == "" {
		return err
	}
	return sqerror.New(sqerror.Config{
		Kind: sqerror.NotHolder, Run: sqerror.NotRun, Detail: e.Detail(), Elsewhere: c.operatorsAt(e.Elsewhere()),
	})
}
