package fleet

import (
	"github.com/BurntSushi/toml"
	"github.com/juju/errors"
)

// Parse reads a configuration and reports all of its problems. A configuration
// with problems must not be put in force.
func Parse(file string, text []byte) (config *Config, problems []Problem) {
	config = &Config{}
	metadata, err := toml.Decode(string(text), config)
	if err != nil {
		p := Problem{File: file, Allowed: err.Error()}
		var parseError toml.ParseError
		if errors.As(err, &parseError) {
			p.Line, p.Allowed = parseError.Position.Line, parseError.Message
		}
		return config, []Problem{p}
	}
	for _, key := range metadata.Undecoded() {
		problems = append(problems, Problem{File: file, Value: "unknown key " + key.String(), Allowed: "a known key"})
	}
	config.fillDefaults()
	return config, problems
}
