# bash completion for chervilhold

_chervilhold_ids() {
	# Names from a list of the system, empty when none answers.
	timeout 2 chervilhold "$1" 2>/dev/null |
	    awk -v title="$2" '$1 == title { on = 1; next } NF == 0 { on = 0 }
	        on { print $1 }'
}

_chervilhold() {
	local cur=${COMP_WORDS[COMP_CWORD]}
	local prev=${COMP_WORDS[COMP_CWORD - 1]}
	local subcommands="apply plan check status explain jobs workers workspaces
	    history drain replace burn trace version"
	local options="--url --key-file --json --help"
	local subcommand="" i

	for ((i = 1; i < COMP_CWORD; i++)); do
		if [[ " ${subcommands//[$'\t\n']/ } " == *" ${COMP_WORDS[i]} "* ]]; then
			subcommand=${COMP_WORDS[i]}
			break
		fi
	done
	case $prev in
	--key-file | -k | --html | --log | -l | --against)
		COMPREPLY=($(compgen -f -- "$cur"))
		return
		;;
	--url | -u | --base | --id | --author | --from | --tenant)
		return
		;;
	--state)
		COMPREPLY=($(compgen -W "waiting starting running stopping done
		    failed cancelled refused" -- "$cur"))
		return
		;;
	esac
	case $subcommand in
	check) options+=" --against" ;;
	apply) options+=" --base --id --author --check-only" ;;
	history) options+=" --from" ;;
	jobs) options+=" --state --tenant" ;;
	burn) options+=" --html" ;;
	trace) options+=" --log" ;;
	esac
	if [[ $cur == -* ]]; then
		COMPREPLY=($(compgen -W "$options" -- "$cur"))
		return
	fi
	case $subcommand in
	"") COMPREPLY=($(compgen -W "$subcommands" -- "$cur")) ;;
	apply | plan | check) COMPREPLY=($(compgen -f -- "$cur")) ;;
	explain)
		COMPREPLY=($(compgen -W "$(_chervilhold_ids jobs JOB)" -- "$cur"))
		;;
	drain | replace)
		COMPREPLY=($(compgen -W "$(_chervilhold_ids status INSTANCE)" \
		    -- "$cur"))
		;;
	esac
}

complete -F _chervilhold chervilhold
