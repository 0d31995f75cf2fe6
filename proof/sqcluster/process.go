package sqcluster

import (
	"context"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"sequoiadock/core/sqerror"
)

// processConfig configures a Process.
type processConfig struct {
	// name is unique within the cluster.
	name string
	path string
	args []string
	env  []string
	// output is the path of the file with standard output and standard error, to
	// which a restart appends.
	output string
}

// Process is an operating system process that can be stopped, killed, paused and
// restarted. It is safe for concurrent use.
type Process struct {
	cfg processConfig

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Name returns the name of the process.
func (p *Process) Name() string { return p.cfg.name }

// Output returns the path of the file with everything that the process printed.
func (p *Process) Output() string { return p.cfg.output }

// Start starts the process; it must not be running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.cfg.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return operationError("open the output of "+p.cfg.name, err)
	}
	defer out.Close()
	cmd := exec.Command(p.cfg.path, p.cfg.args...)
	cmd.Env = append(os.Environ(), p.cfg.env...)
	cmd.Stdout = out
	cmd.Stderr = out
	// The kernel kills the process when the test process dies, so that the process
	// does not outlive a killed test.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return operationError("start "+p.cfg.name, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	p.cmd = cmd
	p.exited = exited
	return nil
}

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.running() {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *Process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Running reports whether the process runs or is paused.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && p.running()
}

// Pause stops the process with SIGSTOP.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Continue resumes a paused process with SIGCONT.
func (p *Process) Continue() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which requests a graceful stop, and does not wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Hangup sends SIGHUP.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Wait waits until the process has exited and returns its exit code.
func (p *Process) Wait(ctx context.Context) (int, error) {
	p.mu.Lock()
	exited, cmd := p.exited, p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return 0, nil
	}
	select {
	case <-exited:
		return cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, sqerror.New(sqerror.Config{Kind: sqerror.Unreachable, Detail: p.cfg.name + " did not exit", Cause: ctx.Err()})
	}
}

// Stop requests a graceful stop, waits for it, and kills the process when ctx is
// done.
func (p *Process) Stop(ctx context.Context) (int, error) {
	p.Terminate()
	code, err := p.Wait(ctx)
	if err != nil {
		p.Kill()
	}
	return code, err
}

// ResidentMemory returns the resident set size of the process in bytes.
func (p *Process) ResidentMemory() (int64, error) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	b, err := os.ReadFile("/proc/" + strconv.Itoa(cmd.Process.Pid) + "/statm")
	if err != nil {
		return 0, operationError("read the memory of "+p.cfg.name, err)
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0, operationError("read the memory of "+p.cfg.name, nil)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0, operationError("read the memory of "+p.cfg.name, err)
	}
	return pages * int64(os.Getpagesize()), nil
}

// PID returns the process ID, or 0 before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}
