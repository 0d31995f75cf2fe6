// Package sqconfig collects the declaration files of a deployment into one
// configuration. It reports every fault of all files in one go.
package sqconfig

import (
	"path"
	"sort"
	"strconv"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqtoml"
)

// Names of the declaration files. A service file stands beside the code of its
// service, at any depth; the others are given once.
const (
	DeploymentFile = "deployment.toml"
	TeamsFile      = "teams.toml"
	ModelsFile     = "models.toml"
	ServiceFile    = "service.toml"
)

var fileNames = []string{DeploymentFile, TeamsFile, ModelsFile, ServiceFile}

// File is one file of the operator's folder.
type File struct {
	path string
	data []byte
}

// NewFile returns the file at a slash-separated path.
func NewFile(path string, data []byte) File {
	return File{path: path, data: data}
}

// collector gathers the declarations of all files before any is checked
// against another.
type collector struct {
	cfg    *sqcommand.Configuration
	faults []*sqerror.Error
	seen   map[string]sqerror.Place
	// unsure holds the kinds of which a name could not be decoded.
	unsure map[string]bool
	// later holds the checks that need every file.
	later []func()
	limit limits
}

// Collect returns the configuration that files declare, or every fault in
// them. Files of other names are passed over, unless the name looks like a
// slip.
func Collect(files []File) (*sqcommand.Configuration, []*sqerror.Error) {
	c := &collector{cfg: &sqcommand.Configuration{}, seen: map[string]sqerror.Place{}, unsure: map[string]bool{}}
	sorted := append([]File{}, files...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].path < sorted[j].path })
	for _, f := range sorted {
		c.read(f)
	}
	for _, check := range c.later {
		check()
	}
	c.whole()
	if len(c.faults) > 0 {
		sqtoml.SortErrors(c.faults)
		return nil, c.faults
	}
	return c.cfg, nil
}

func (c *collector) read(f File) {
	name := path.Base(f.path)
	switch name {
	case DeploymentFile:
		if c.once(f, name) {
			readDeployment(c, f)
		}
	case TeamsFile:
		if c.once(f, name) {
			readTeams(c, f)
		}
	case ModelsFile:
		if c.once(f, name) {
			readModels(c, f)
		}
	case ServiceFile:
		readService(c, f)
	default:
		if near := sqtoml.ClosestMatch(name, fileNames); near != "" {
			c.add(sqerror.Place{File: f.path}, strconv.Quote(name)+" is not read", "name the file "+near)
		}
	}
}

// once refuses a second file of a name that is given once.
func (c *collector) once(f File, name string) bool {
	return c.define(sqerror.Place{File: f.path}, "file", name)
}

// whole checks that no file is missing.
func (c *collector) whole() {
	for _, name := range fileNames[:3] {
		if _, ok := c.seen["file "+name]; !ok {
			c.add(sqerror.Place{File: name}, "the file is missing", "give the folder that holds "+name)
		}
	}
	if len(c.cfg.GetServices()) == 0 && !c.hasService() {
		c.add(sqerror.Place{File: ServiceFile}, "no service is declared", "put a service.toml beside the code of each service")
	}
}

func (c *collector) hasService() bool {
	for _, f := range c.faults {
		if path.Base(f.Place().File) == ServiceFile {
			return true
		}
	}
	return false
}

func (c *collector) add(p sqerror.Place, detail, advice string) {
	c.faults = append(c.faults, sqerror.New(sqerror.Config{
		Kind: sqerror.BadSetting, Place: p, Detail: detail, Advice: advice,
	}))
}

// define notes a name of a kind of thing. It reports whether this is the first
// definition, and adds a fault if not.
func (c *collector) define(p sqerror.Place, kind, name string) bool {
	id := kind + " " + name
	first, ok := c.seen[id]
	if ok {
		c.add(p, kind+" "+strconv.Quote(name)+" is defined twice, first at "+first.String(), "keep one definition")
		return false
	}
	c.seen[id] = p
	return true
}

// named checks the name of a thing and notes it.
func (c *collector) named(k *checker, path, kind, name string) {
	switch {
	case k.CheckName(path, name):
		c.define(k.Place(path), kind, name)
	case k.Undecoded(path):
		c.unsure[kind] = true
	}
}

// refer checks, once all files are read, that a name is defined.
func (c *collector) refer(p sqerror.Place, kind, name string) {
	c.later = append(c.later, func() {
		if _, ok := c.seen[kind+" "+name]; ok {
			return
		}
		advice := "declare the " + kind + " or write the name of one that is declared"
		if near := c.nearest(kind, name); near != "" {
			advice = "write " + strconv.Quote(near)
		} else if c.unsure[kind] {
			// It may be the name that could not be decoded.
			return
		}
		c.add(p, "there is no "+kind+" "+strconv.Quote(name), advice)
	})
}

// nearest returns the defined name that name is most likely a slip of, or "".
func (c *collector) nearest(kind, name string) string {
	var known []string
	for id := range c.seen {
		if len(id) > len(kind) && id[:len(kind)+1] == kind+" " {
			known = append(known, id[len(kind)+1:])
		}
	}
	sort.Strings(known)
	return sqtoml.ClosestMatch(name, known)
}
