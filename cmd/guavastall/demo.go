package main

import (
	"context"
	"io"

	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/demonstrator"
)

// demoCmd runs a small deployment in this process and checks it.
type demoCmd struct {
	Logs bool `arg:"--logs" help:"also write the logs of the nodes to standard error"`
}

func (dc *demoCmd) run(ctx context.Context, stdout, stderr io.Writer) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	if dc.Logs {
		log.SetOutput(stderr)
	}
	return demonstrator.New(stdout, log).Run(ctx)
}
