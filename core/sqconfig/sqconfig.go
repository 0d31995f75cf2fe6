// Package sqconfig parses and validates the declaration files of a deployment and
// combines them into one configuration. It reports the errors of all files at once.
package sqconfig

import (
	"path"
	"sort"
	"strconv"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqtoml"
)

// Names of the declaration files. There is one ServiceFile for each service, next to
// the service's code at any depth of the folder, and one of each other file.
const (
	DeploymentFile = "deployment.toml"
	TeamsFile      = "teams.toml"
	ModelsFile     = "models.toml"
	ServiceFile    = "service.toml"
)

var fileNames = []string{DeploymentFile, TeamsFile, ModelsFile, ServiceFile}

// File is one file of the folder that holds the declarations.
type File struct {
	path string
	data []byte
}

// NewFile returns a file with its slash-separated path and its content.
func NewFile(path string, data []byte) File {
	return File{path: path, data: data}
}

// collector gathers the declarations of all files before it checks references
// between them.
type collector struct {
	cfg  *sqcommand.Configuration
	errs []*sqerror.Error
	// definitions maps each defined name to the position of its first definition.
	// The key is the kind, a space and the name, such as "team brugge".
	definitions map[string]sqerror.Position
	// undecodedKinds holds the kinds with a definition whose name could not be
	// decoded.
	undecodedKinds map[string]bool
	// crossChecks holds the checks that run after all files are read.
	crossChecks []func()
	limits      limits
}

// Collect returns the configuration that files declare, or all errors in them. It
// ignores files with other names, unless the name looks like a typo of a
// declaration file's name.
func Collect(files []File) (*sqcommand.Configuration, []*sqerror.Error) {
	c := &collector{cfg: &sqcommand.Configuration{}, definitions: map[string]sqerror.Position{}, undecodedKinds: map[string]bool{}}
	sorted := append([]File{}, files...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].path < sorted[j].path })
	for _, f := range sorted {
		c.readFile(f)
	}
	for _, check := range c.crossChecks {
		check()
	}
	c.checkComplete()
	if len(c.errs) > 0 {
		sqtoml.SortErrors(c.errs)
		return nil, c.errs
	}
	return c.cfg, nil
}

func (c *collector) readFile(f File) {
	name := path.Base(f.path)
	switch name {
	case DeploymentFile:
		if c.defineFile(f, name) {
			readDeployment(c, f)
		}
	case TeamsFile:
		if c.defineFile(f, name) {
			readTeams(c, f)
		}
	case ModelsFile:
		if c.defineFile(f, name) {
			readModels(c, f)
		}
	case ServiceFile:
		readService(c, f)
	default:
		if closest := sqtoml.ClosestMatch(name, fileNames); closest != "" {
			c.addError(sqerror.Position{File: f.path}, strconv.Quote(name)+" is not read", "name the file "+closest)
		}
	}
}

// defineFile records a file that may exist only once. It returns false and adds an
// error if there was one before.
func (c *collector) defineFile(f File, name string) bool {
	return c.define(sqerror.Position{File: f.path}, "file", name)
}

// checkComplete adds an error for each missing file.
func (c *collector) checkComplete() {
	for _, name := range fileNames[:3] {
		if _, ok := c.definitions["file "+name]; !ok {
			c.addError(sqerror.Position{File: name}, "the file is missing", "give the folder that holds "+name)
		}
	}
	if len(c.cfg.GetServices()) == 0 && !c.hasServiceError() {
		c.addError(sqerror.Position{File: ServiceFile}, "no service is declared", "put a service.toml beside the code of each service")
	}
}

func (c *collector) hasServiceError() bool {
	for _, e := range c.errs {
		if path.Base(e.Position().File) == ServiceFile {
			return true
		}
	}
	return false
}

func (c *collector) addError(p sqerror.Position, detail, advice string) {
	c.errs = append(c.errs, sqerror.New(sqerror.Config{
		Kind: sqerror.BadSetting, Position: p, Detail: detail, Advice: advice,
	}))
}

// define records a name of a kind, such as team or route. It returns false and adds
// an error if the name is already defined.
func (c *collector) define(p sqerror.Position, kind, name string) bool {
	key := kind + " " + name
	first, ok := c.definitions[key]
	if ok {
		c.addError(p, kind+" "+strconv.Quote(name)+" is defined twice, first at "+first.String(), "keep one definition")
		return false
	}
	c.definitions[key] = p
	return true
}

// defineName checks the name at path and records it.
func (c *collector) defineName(k *checker, path, kind, name string) {
	switch {
	case k.CheckName(path, name):
		c.define(k.Position(path), kind, name)
	case k.Undecoded(path):
		c.undecodedKinds[kind] = true
	}
}

// checkReference adds a check, to be run after all files are read, that a name is
// defined.
func (c *collector) checkReference(p sqerror.Position, kind, name string) {
	c.crossChecks = append(c.crossChecks, func() {
		if _, ok := c.definitions[kind+" "+name]; ok {
			return
		}
		advice := "declare the " + kind + " or write the name of one that is declared"
		if closest := c.closestDefined(kind, name); closest != "" {
			advice = "write " + strconv.Quote(closest)
		} else if c.undecodedKinds[kind] {
			// The name may be defined where a name could not be decoded.
			return
		}
		c.addError(p, "there is no "+kind+" "+strconv.Quote(name), advice)
	})
}

// closestDefined returns the defined name of which name is most likely a typo, or
// "".
func (c *collector) closestDefined(kind, name string) string {
	var known []string
	for key := range c.definitions {
		if len(key) > len(kind) && key[:len(kind)+1] == kind+" " {
			known = append(known, key[len(kind)+1:])
		}
	}
	sort.Strings(known)
	return sqtoml.ClosestMatch(name, known)
}
