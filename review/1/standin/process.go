package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// graceTime is the time between SIGTERM and SIGKILL.
const graceTime = 8 * time.Second

// process is one program of the deploy file on a machine of its own.
type process struct {
	lab    *lab
	role   string
	name   string
	host   int
	fields map[string]any
	// settings is the path of its settings file.
	settings string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func (l *lab) newProcess(role, name string, host int) *process {
	p := &process{lab: l, role: role, name: name, host: host, settings: filepath.Join(l.folder, name+".toml")}
	p.fields = l.settingsFields(p)
	return p
}

// writeSettings fills in the template of the role. The order of the seeds may be changed,
// as when the operator's list of machines changes.
func (p *process) writeSettings() error {
	template, err := os.ReadFile(filepath.Join(projectRoot(), p.lab.roles[p.role].template))
	if err != nil {
		return err
	}
	text, err := fillTemplate(string(template), p.fields)
	if err != nil {
		return err
	}
	temporary := p.settings + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, p.settings)
}

// start starts the process with the command of the deploy file. First is true at the first
// start of the whole system.
func (p *process) start(first bool) error {
	p.fields["bootstrap"] = first
	if err := p.writeSettings(); err != nil {
		return err
	}
	var args []string
	for _, word := range strings.Fields(p.lab.roles[p.role].run) {
		if strings.HasPrefix(word, "/etc/") {
			word = p.settings
		}
		args = append(args, word)
	}
	output, err := os.OpenFile(filepath.Join(p.lab.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	cmd := exec.Command(filepath.Join(projectRoot(), args[0]), args[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = projectRoot(), output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	p.lab.record("%s starts, process %d", p.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		p.lab.record("%s ended: %v", p.name, exitText(err))
		close(exited)
	}()
	return nil
}

func exitText(err error) string {
	if err == nil {
		return "exit code 0"
	}
	return err.Error()
}

// signal sends a signal if the process runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.hasExited() {
		return
	}
	p.lab.record("%s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// awaitExit waits for the end of the process and kills it at the end of the time.
func (p *process) awaitExit(timeout time.Duration) {
	select {
	case <-p.exited:
	case <-time.After(timeout):
		p.kill()
	}
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ready reports whether the gateway answers the platform's readiness check with 200.
func (p *process) ready() bool {
	res, err := readyClient.Get(fmt.Sprintf("http://%s/sequoiadock/ready", p.lab.address(p.host, readyPort)))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
