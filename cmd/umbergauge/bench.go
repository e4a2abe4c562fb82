package main

import "github.com/spf13/cobra"

func benchCommand() *cobra.Command { return &cobra.Command{Use: "bench", Hidden: true} }
